package org.brasspier.daemon.mesh;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.keys.GrantDelivery;

/**
 * What a daemon of a mesh learns before it starts. Immutable and thread-safe.
 *
 * @param instance its instance
 * @param failureDomain the instance's failure domain
 * @param listen where it listens
 * @param backend the backend server beside it
 * @param bounds the times that operators promise their users
 * @param linkMegabits what the instance's network link carries, in megabits a second; 0
 * if that is not known
 */
public record MeshSettings(InstanceId instance, FailureDomain failureDomain, ListenAddresses listen, Backend backend,
		Bounds bounds, int linkMegabits) {

	/**
	 * Creates settings of an instance whose network link is not known.
	 * @param instance its instance
	 * @param failureDomain the instance's failure domain
	 * @param listen where it listens
	 * @param backend the backend server beside it
	 * @param bounds the times that operators promise their users
	 */
	public MeshSettings(InstanceId instance, FailureDomain failureDomain, ListenAddresses listen, Backend backend,
			Bounds bounds) {
		this(instance, failureDomain, listen, backend, bounds, 0);
	}

	/**
	 * Where a daemon listens. Each is a port of its own.
	 *
	 * @param callers for requests of callers and of the backend server
	 * @param readiness for the platform's question whether it takes work
	 * @param backend for the heartbeats of the backend server
	 * @param peers for other daemons
	 * @param metrics for metrics; empty if there is none
	 */
	public record ListenAddresses(InetSocketAddress callers, InetSocketAddress readiness, InetSocketAddress backend,
			InetSocketAddress peers, Optional<InetSocketAddress> metrics) {
	}

	/**
	 * The backend server beside a daemon.
	 *
	 * @param service its service
	 * @param address where it listens
	 * @param heartbeatInterval how often it sends a heartbeat, about
	 * @param grants how it receives grants of keys, unless the configuration says
	 * otherwise for its service
	 */
	public record Backend(ServiceName service, InetSocketAddress address, Duration heartbeatInterval,
			GrantDelivery grants) {
	}

	/**
	 * The times that operators promise.
	 *
	 * @param drain how long a backend server serves on once its leaving is acknowledged
	 * @param stopTimeout how long a process may go on after it was told to end
	 * @param maxHold the longest time for which keys may be granted
	 * @param retries how many repeats the deployment may send
	 */
	public record Bounds(Duration drain, Duration stopTimeout, Duration maxHold, Retries retries) {
	}

	/**
	 * How many repeats all daemons together may send to a service.
	 *
	 * @param ratio repeats for each request
	 * @param slack repeats in each window besides
	 * @param window the window
	 */
	public record Retries(double ratio, int slack, Duration window) {
	}

}
