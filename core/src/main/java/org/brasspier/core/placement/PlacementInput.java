package org.brasspier.core.placement;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;

/**
 * Input of a placement decision. Immutable and thread-safe.
 *
 * @param nowMillis current time on the lease manager's monotonic clock, in milliseconds
 * @param service the service
 * @param members the instances whose backend server belongs to the service
 * @param ranges all ranges of the service, in order and without gaps
 * @param weights the operators' weights of the three measures
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
	 * Which ranges an instance may own.
	 */
	public enum Phase {

		/** May own its full share. */
		ACTIVE,

		/** Has joined recently; its share grows step by step. */
		COLD,

		/** Is leaving: its ranges must move away and it gets no others. */
		LEAVING,

		/** Is lost: its ranges have no owner. */
		LOST

	}

	/**
	 * An instance as placement sees it.
	 *
	 * @param instance its identity
	 * @param domain its failure domain
	 * @param slots how many requests its backend server runs concurrently
	 * @param phase which ranges it may own
	 * @param warmShare the share of its capacity that it may be given now, more than 0
	 * and at most 1
	 */
	public record Member(InstanceId instance, FailureDomain domain, int slots, Phase phase, double warmShare) {

	}

	/**
	 * A range as placement sees it.
	 *
	 * @param range the points
	 * @param owner its owner, if it has one
	 * @param busySlots how many slots its requests kept busy on average over the last
	 * window, measured by the owner's daemon
	 * @param hottest its hottest single point, if one stands out
	 * @param movedAtMillis when its owner last changed, on the clock of nowMillis
	 */
	public record Range(KeyRange range, Optional<InstanceId> owner, double busySlots, Optional<HotPoint> hottest,
			long movedAtMillis) {

	}

	/**
	 * A single point with high load.
	 *
	 * @param point the point of the hash space
	 * @param busySlots how many slots its requests kept busy on average
	 */
	public record HotPoint(long point, double busySlots) {

	}

}
