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
 */
public record ServiceRule(ServiceName name, int maxConnections, boolean sharded, Optional<GrantDelivery> grants) {

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

}
