package org.brasspier.core.placement;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;

/**
 * What a placement decision is made from. Immutable and thread-safe.
 *
 * @param nowMillis the time on the lease manager's monotonic clock, in milliseconds
 * @param service the service
 * @param members the instances whose backend server belongs to the service
 * @param ranges all ranges of the service, in order and without gaps
 * @param weights how the operators weigh the three measures
 */
public record PlacementInput(long nowMillis, ServiceName service, List<Member> members, List<Range> ranges,
		PlacementWeights weights) {

	/**
	 * Copies the lists.
	 */
	public PlacementInput {
		members = List.copyOf(members);
		ranges = List.copyOf(ranges);
	}

	/**
	 * What an instance may be given.
	 */
	public enum Phase {

		/** It may own its full share. */
		ACTIVE,

		/** It has just come and gets its share step by step. */
		COLD,

		/** It is leaving: what it owns must go, nothing may come. */
		LEAVING,

		/** It is gone: what it owned has no owner. */
		LOST

	}

	/**
	 * An instance as placement sees it.
	 *
	 * @param instance its identity
	 * @param domain its failure domain
	 * @param slots how many requests its backend server runs at once
	 * @param phase what it may be given
	 * @param warmShare the share of its capacity it may be given now, above 0 to 1
	 */
	public record Member(InstanceId instance, FailureDomain domain, int slots, Phase phase, double warmShare) {

	}

	/**
	 * A range as placement sees it.
	 *
	 * @param range the points
	 * @param owner who owns it, if anybody does
	 * @param busySlots how many slots its requests kept busy on average over the last
	 * window, measured by the owner's daemon
	 * @param hottest the hottest single point in it, if one stands out
	 * @param movedAtMillis when it last changed its owner, on the clock of nowMillis
	 */
	public record Range(KeyRange range, Optional<InstanceId> owner, double busySlots, Optional<HotPoint> hottest,
			long movedAtMillis) {

	}

	/**
	 * A single point that carries much load.
	 *
	 * @param point the point of the hash space
	 * @param busySlots how many slots its requests kept busy on average
	 */
	public record HotPoint(long point, double busySlots) {

	}

}
