package org.brasspier.daemon.internal.mesh;

import java.net.InetSocketAddress;
import java.util.Optional;

import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.keys.BackendIncarnation;

/**
 * An instance as its own daemon describes it in the platform's store. Immutable and
 * thread-safe.
 *
 * @param instance its identity
 * @param address where its daemon takes requests of other daemons
 * @param failureDomain its failure domain
 * @param service the service of the backend server on it
 * @param incarnation the life of the backend server; empty if none was heard of
 * @param slots how many requests the backend server runs at once, at least 1
 * @param ready whether the backend server takes work
 * @param passesRows whether its daemon passes on what the store tells it; daemons of an
 * earlier build don't
 * @param linkMegabits what its network link carries, in megabits a second; 0 if that is
 * not known
 */
record Member(InstanceId instance, InetSocketAddress address, FailureDomain failureDomain, ServiceName service,
		Optional<BackendIncarnation> incarnation, int slots, boolean ready, boolean passesRows, int linkMegabits) {

	/**
	 * Checks the numbers.
	 * @throws IllegalArgumentException if the slots are less than 1
	 */
	Member {
		if (slots < 1) {
			throw new IllegalArgumentException("instance %s: slots %d must be at least 1".formatted(instance, slots));
		}
	}

	Member(InstanceId instance, InetSocketAddress address, FailureDomain failureDomain, ServiceName service,
			Optional<BackendIncarnation> life, int slots, boolean ready) {
		this(instance, address, failureDomain, service, life, slots, ready, true, 0);
	}

}
