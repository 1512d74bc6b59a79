package org.brasspier.daemon.mesh;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.keys.GrantDelivery;

/**
 * Settings of a daemon of a mesh. Immutable and thread-safe.
 *
 * @param instance identity of the daemon's instance
 * @param failureDomain the instance's failure domain
 * @param listen addresses on which the daemon listens
 * @param backend the backend server on the same instance
 * @param bounds time limits and retry limits that operators promise their users
 * @param linkMegabits bandwidth of the instance's network link in megabits per second; 0
 * if unknown
 */
public record MeshSettings(InstanceId instance, FailureDomain failureDomain, ListenAddresses listen, Backend backend,
		Bounds bounds, int linkMegabits) {

	/**
	 * Creates settings of an instance whose network bandwidth is unknown.
	 * @param instance identity of the daemon's instance
	 * @param failureDomain the instance's failure domain
	 * @param listen addresses on which the daemon listens
	 * @param backend the backend server on the same instance
	 * @param bounds time limits and retry limits that operators promise their users
	 */
	public MeshSettings(InstanceId instance, FailureDomain failureDomain, ListenAddresses listen, Backend backend,
			Bounds bounds) {
		this(instance, failureDomain, listen, backend, bounds, 0);
	}

	/**
	 * Addresses on which a daemon listens, each with its own port.
	 *
	 * @param callers address for requests of callers and of the backend server
	 * @param readiness address for readiness checks of the platform
	 * @param backend address for heartbeats of the backend server
	 * @param peers address for connections of other daemons
	 * @param metrics address for reads of the metrics; empty if they are not exposed
	 */
	public record ListenAddresses(InetSocketAddress callers, InetSocketAddress readiness, InetSocketAddress backend,
			InetSocketAddress peers, Optional<InetSocketAddress> metrics) {
	}

	/**
	 * The backend server on the daemon's instance.
	 *
	 * @param service service of the backend server
	 * @param address address on which the backend server listens
	 * @param heartbeatInterval approximate interval between its heartbeats
	 * @param grants how it receives grants of keys, unless the configuration of its
	 * service overrides this
	 */
	public record Backend(ServiceName service, InetSocketAddress address, Duration heartbeatInterval,
			GrantDelivery grants) {
	}

	/**
	 * Time limits and retry limits that operators promise their users.
	 *
	 * @param drain time for which a backend server continues to serve after its departure
	 * was acknowledged
	 * @param stopTimeout time for which a process may continue after it was told to stop
	 * @param maxHold longest time for which keys may be granted
	 * @param retries retry limits of the whole deployment
	 * @param configApply time within which a change by an operator is in force
	 * @param evacuation time within which nothing more reaches an evacuated failure
	 * domain
	 * @param cold what a cold backend server may receive
	 */
	public record Bounds(Duration drain, Duration stopTimeout, Duration maxHold, Retries retries, Duration configApply,
			Duration evacuation, ColdOverage cold) {

		private static final Duration DEFAULT_CONFIG_APPLY = Duration.ofMillis(2500);

		private static final Duration DEFAULT_EVACUATION = Duration.ofSeconds(5);

		/**
		 * Creates bounds with the usual ones for changes by operators and without a limit
		 * for cold backend servers.
		 * @param drain time for which a backend server continues to serve after its
		 * departure was acknowledged
		 * @param stopTimeout time for which a process may continue after it was told to
		 * stop
		 * @param maxHold longest time for which keys may be granted
		 * @param retries retry limits of the whole deployment
		 */
		public Bounds(Duration drain, Duration stopTimeout, Duration maxHold, Retries retries) {
			this(drain, stopTimeout, maxHold, retries, DEFAULT_CONFIG_APPLY, DEFAULT_EVACUATION, ColdOverage.UNLIMITED);
		}

	}

	/**
	 * Number of requests that a cold backend server may receive in a second, beyond the
	 * rate that the configuration names for its service.
	 *
	 * @param factor factor on that rate; 0 if cold servers are not limited
	 * @param slack requests in addition
	 */
	public record ColdOverage(double factor, double slack) {

		/** No limit. */
		public static final ColdOverage UNLIMITED = new ColdOverage(0, 0);

	}

	/**
	 * Number of retries that all daemons together may send to a service.
	 *
	 * @param ratio retries per request
	 * @param slack retries per window in addition to the ratio
	 * @param window length of the window
	 */
	public record Retries(double ratio, int slack, Duration window) {
	}

}
