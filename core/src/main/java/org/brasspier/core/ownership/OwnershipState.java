package org.brasspier.core.ownership;

import java.util.List;
import java.util.Map;

import org.brasspier.core.InstanceId;

/**
 * What a process holds and knows, for publishing. Immutable and thread-safe.
 *
 * @param me what the process says of itself
 * @param known the newest row it knows
 * @param held what it may serve until leaseEnd
 * @param draining what it is letting go of
 * @param leaseEnd when its lease ends, on its own clock
 * @param moves planned moves under way, at the primary
 * @param heardAt when each member was heard last, at a lease manager
 * @param tableReachable whether the last call to the table was answered
 */
public record OwnershipState(MemberInfo me, VersionedRow known, List<RangeState> held, List<HeldRange> draining,
		long leaseEnd, List<PlannedMove> moves, Map<InstanceId, Long> heardAt, boolean tableReachable) {

}
