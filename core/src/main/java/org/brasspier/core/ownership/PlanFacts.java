package org.brasspier.core.ownership;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

import org.brasspier.core.InstanceId;

/**
 * Input of the primary's planning. Immutable and thread-safe, except for the functions.
 *
 * @param known the newest known row
 * @param now current time, milliseconds
 * @param lost members whose ranges may be reassigned
 * @param suspects members that must not get ranges
 * @param announced recent announcements of processes
 * @param released ranges that their owners released, with their marks
 * @param moves pending moves
 * @param closed former manager pairs that are known to have ended
 * @param drained instances that operators took out of service
 * @param balance whether to ask the policy even if every range has an owner
 * @param placement the placement policy and its settings
 * @param load returns the known load of a range
 * @param warmShare returns the share of its capacity that a member may be given
 * @param movedAt returns when a range's owner last changed
 * @param awaitsSuccessor whether an instance started to leave so recently that it keeps
 * ranges that no other instance can take
 */
record PlanFacts(VersionedRow known, long now, Set<MemberKey> lost, Set<MemberKey> suspects, List<MemberInfo> announced,
		Map<HeldRange, List<CrashMark>> released, List<PlannedMove> moves, List<ManagerPair> closed,
		Set<InstanceId> drained, boolean balance, PrimaryState.Placement placement, Function<HeldRange, RangeLoad> load,
		Function<MemberInfo, Double> warmShare, Function<HeldRange, Long> movedAt,
		Predicate<MemberInfo> awaitsSuccessor) {

}
