package org.brasspier.core.mesh;

import java.util.Optional;

import org.brasspier.core.ServiceName;
import org.brasspier.core.keys.GrantDelivery;

/**
 * One service of the configuration. Immutable and thread-safe.
 *
 * @param name the service's name
 * @param maxConnections the maximum number of connections that one backend server
 * accepts, at least 1
 * @param sharded whether its backend servers run a request only while they hold its key
 * @param grants how its backend servers receive grants of keys; empty if that is left to
 * the settings of each daemon
 * @param coldStart what its backend servers tolerate while they are cold; empty if they
 * have no such phase
 */
public record ServiceRule(ServiceName name, int maxConnections, boolean sharded, Optional<GrantDelivery> grants,
		Optional<ColdStart> coldStart) {

	/**
	 * Validates the rule.
	 * @throws IllegalArgumentException if a value is out of range
	 */
	public ServiceRule {
		if (maxConnections < 1) {
			throw new IllegalArgumentException(
					"service %s: %d connections must be at least 1".formatted(name, maxConnections));
		}
	}

	/**
	 * Creates the rule of a service whose backend servers are never cold.
	 * @param name the service's name
	 * @param maxConnections the maximum number of connections that one backend server
	 * accepts, at least 1
	 * @param sharded whether its backend servers run a request only while they hold its
	 * key
	 * @param grants how its backend servers receive grants of keys; empty if that is left
	 * to the settings of each daemon
	 */
	public ServiceRule(ServiceName name, int maxConnections, boolean sharded, Optional<GrantDelivery> grants) {
		this(name, maxConnections, sharded, grants, Optional.empty());
	}

	/**
	 * The cold phase of a service's backend servers.
	 *
	 * @param perSecond the number of requests that a cold server tolerates in a second,
	 * above 0
	 * @param healthPath the path of the health check, whose answer tells whether a server
	 * is cold
	 */
	public record ColdStart(double perSecond, String healthPath) {

		/**
		 * Checks the rate.
		 * @throws IllegalArgumentException if it is not positive
		 */
		public ColdStart {
			if (!(perSecond > 0)) {
				throw new IllegalArgumentException("cold servers: rate %s must be positive".formatted(perSecond));
			}
		}

	}

}
