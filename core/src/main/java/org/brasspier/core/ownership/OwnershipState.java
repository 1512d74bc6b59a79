package org.brasspier.core.ownership;

import java.util.List;
import java.util.Map;

import org.brasspier.core.InstanceId;

/**
 * Snapshot of what a process holds and knows, for publishing. Immutable and thread-safe.
 *
 * @param me the member information that the process announces
 * @param known the newest row that it knows
 * @param held the ranges that it may serve until leaseEnd
 * @param draining the ranges that it is releasing
 * @param leaseEnd when its lease ends, on its own clock
 * @param moves pending moves, at the primary
 * @param heardAt time of the last heartbeat of each member, at a lease manager
 * @param tableReachable whether the last call to the table was answered
 */
public record OwnershipState(MemberInfo me, VersionedRow known, List<RangeState> held, List<HeldRange> draining,
		long leaseEnd, List<PlannedMove> moves, Map<InstanceId, Long> heardAt, boolean tableReachable) {

}
