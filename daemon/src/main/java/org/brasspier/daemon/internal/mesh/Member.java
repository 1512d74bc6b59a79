package org.brasspier.daemon.internal.mesh;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalDouble;

import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.keys.BackendIncarnation;
import org.jspecify.annotations.Nullable;

/**
 * State of an instance, as written to the platform's store by its own daemon. Immutable
 * and thread-safe.
 *
 * @param instance identity of the instance
 * @param address address on which its daemon accepts connections of other daemons
 * @param failureDomain failure domain of the instance
 * @param service service of its backend server
 * @param incarnation incarnation of its backend server; empty if none is known
 * @param slots number of requests that its backend server runs at once, at least 1
 * @param ready whether its backend server accepts requests
 * @param passesRows whether its daemon forwards the store's rows to other daemons;
 * daemons of an earlier build don't
 * @param linkMegabits bandwidth of its network link in megabits per second; 0 if unknown
 * @param perSecond requests per second that its backend server has said for some time
 * that it takes; empty if it names no limit
 */
record Member(InstanceId instance, InetSocketAddress address, FailureDomain failureDomain, ServiceName service,
		Optional<BackendIncarnation> incarnation, int slots, boolean ready, boolean passesRows, int linkMegabits,
		OptionalDouble perSecond) {

	/**
	 * Validates the numbers.
	 * @throws IllegalArgumentException if the port is 0, {@code slots} is less than 1,
	 * {@code linkMegabits} is negative, or {@code perSecond} is negative or infinite
	 */
	Member {
		if (slots < 1) {
			throw new IllegalArgumentException("instance %s: slots %d must be at least 1".formatted(instance, slots));
		}
		if (address.getPort() == 0 || linkMegabits < 0) {
			throw new IllegalArgumentException("instance %s: the port of %s must not be 0, nor the link of %d negative"
				.formatted(instance, address, linkMegabits));
		}
		if (perSecond.isPresent() && !(perSecond.getAsDouble() >= 0 && Double.isFinite(perSecond.getAsDouble()))) {
			throw new IllegalArgumentException(
					"instance %s: limit %s must be a number of requests".formatted(instance, perSecond));
		}
	}

	Member(InstanceId instance, InetSocketAddress address, FailureDomain failureDomain, ServiceName service,
			Optional<BackendIncarnation> incarnation, int slots, boolean ready) {
		this(instance, address, failureDomain, service, incarnation, slots, ready, true, 0, OptionalDouble.empty());
	}

	// Written by hand: the generated methods use method handles, which take milliseconds
	// to set up in a process that has just started.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof Member that && this.instance.equals(that.instance) && this.address.equals(that.address)
				&& this.failureDomain.equals(that.failureDomain) && this.service.equals(that.service)
				&& this.incarnation.equals(that.incarnation) && this.slots == that.slots && this.ready == that.ready
				&& this.passesRows == that.passesRows && this.linkMegabits == that.linkMegabits
				&& this.perSecond.equals(that.perSecond);
	}

	@Override
	public int hashCode() {
		return 31 * this.instance.hashCode() + this.address.hashCode();
	}

}
