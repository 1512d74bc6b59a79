package org.brasspier.core.ownership;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

import org.brasspier.core.InstanceId;

/**
 * What the primary plans from. Immutable and thread-safe, but for the functions.
 *
 * @param known the newest known row
 * @param now the time
 * @param lost members whose ranges may be given away
 * @param suspects members that nothing should be given to
 * @param announced what processes lately said of themselves
 * @param released ranges that their owners let go of, with their marks
 * @param moves moves under way
 * @param closed old pairs that are known to have ended
 * @param drained instances that operators took out of service
 * @param balance whether the policy is asked even if every range has an owner
 * @param placement decides what goes where
 * @param load the load of each range that is known
 * @param warmShare the share of its capacity that an instance may be given
 * @param movedAt when a range last changed its owner
 * @param awaitsSuccessor whether an instance began to leave so lately that it keeps what
 * nobody else can take
 */
record PlanFacts(VersionedRow known, long now, Set<MemberKey> lost, Set<MemberKey> suspects, List<MemberInfo> announced,
		Map<HeldRange, List<CrashMark>> released, List<PlannedMove> moves, List<ManagerPair> closed,
		Set<InstanceId> drained, boolean balance, PrimaryState.Placement placement, Function<HeldRange, RangeLoad> load,
		Function<MemberInfo, Double> warmShare, Function<HeldRange, Long> movedAt,
		Predicate<MemberInfo> awaitsSuccessor) {

}
