package org.brasspier.core.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;
import org.brasspier.core.placement.PlacementInput;
import org.brasspier.core.placement.PlacementInput.Phase;
import org.brasspier.core.placement.PlacementStep;
import org.brasspier.core.placement.PlacementStep.MoveCause;

/**
 * Applies the steps of the placement policy for one service to the cell row. A range
 * without an owner is assigned at once. For an owned range, a planned move is added that
 * waits until the owner releases the range. Used for one plan only.
 */
final class ServicePlan {

	private final PlanFacts facts;

	private final CellRow original;

	private final ServiceName service;

	private final List<InstanceId> eligibleOwners;

	private final Map<KeyRange, RangeState> ranges;

	private final Map<KeyRange, PlannedMove> pendingMoves;

	private final List<PlannedMove> newMoves = new ArrayList<>();

	private final List<KeyRange> newlyAssigned = new ArrayList<>();

	ServicePlan(PlanFacts facts, CellRow row, ServiceName service, List<PlannedMove> moves,
			List<InstanceId> eligibleOwners) {
		this.facts = facts;
		this.original = row;
		this.service = service;
		this.eligibleOwners = eligibleOwners;
		this.ranges = RowPlanner.statesByRange(row.rangesOf(service));
		this.pendingMoves = new java.util.HashMap<>();
		moves.stream()
			.filter((move) -> move.held().service().equals(service))
			.forEach((move) -> this.pendingMoves.put(move.held().range(), move));
	}

	void run() {
		this.facts.placement().policy().plan(input()).forEach(this::apply);
		assignUnowned();
		releaseRangesOfLeavingMembers();
	}

	private PlacementInput input() {
		List<PlacementInput.Member> members = this.original.members()
			.stream()
			.filter((
					member) -> member.backend().filter((backend) -> backend.service().equals(this.service)).isPresent())
			.map(this::member)
			.toList();
		return new PlacementInput(this.facts.now(), this.service, members,
				this.ranges.values().stream().map(this::range).toList(), this.facts.placement().weights());
	}

	private PlacementInput.Member member(MemberInfo member) {
		double warmShare = this.facts.warmShare().apply(member);
		return new PlacementInput.Member(member.instance(), member.domain(),
				member.backend().map(MemberInfo.Backend::slots).orElse(1), phase(member, warmShare), warmShare);
	}

	private Phase phase(MemberInfo member, double warmShare) {
		if (member.phase() != MemberPhase.ACTIVE || this.original.drained().contains(member.instance())) {
			return Phase.LEAVING;
		}
		return (warmShare < 1) ? Phase.COLD : Phase.ACTIVE;
	}

	private PlacementInput.Range range(RangeState range) {
		Optional<InstanceId> plannedOwner = Optional.ofNullable(this.pendingMoves.get(range.range()))
			.flatMap(PlannedMove::to);
		RangeLoad load = this.facts.load().apply(range.held());
		return new PlacementInput.Range(range.range(), plannedOwner.or(range::owner), load.busySlots(), load.hottest(),
				this.facts.movedAt().apply(range.held()));
	}

	private void apply(PlacementStep step) {
		switch (step) {
			case PlacementStep.Move(KeyRange range, InstanceId to, MoveCause cause) -> move(range, to, cause);
			case PlacementStep.Split(KeyRange range, long at) -> split(range, at);
			case PlacementStep.Merge(KeyRange first, KeyRange second) -> merge(first, second);
		}
	}

	private void move(KeyRange range, InstanceId to, MoveCause cause) {
		RangeState state = this.ranges.get(range);
		if (state == null || !this.eligibleOwners.contains(to) || this.pendingMoves.containsKey(range)) {
			return;
		}
		if (state.owner().isEmpty()) {
			assign(state, to);
		}
		else if (!state.owner().get().equals(to)) {
			PlannedMove move = new PlannedMove(state.held(), Optional.of(to), cause);
			this.newMoves.add(move);
			this.pendingMoves.put(range, move);
		}
	}

	private void assign(RangeState state, InstanceId to) {
		this.newlyAssigned.add(state.range());
		this.ranges.put(state.range(),
				new RangeState(state.service(), state.range(), Optional.of(to), state.fence(), state.marks()));
	}

	private void split(KeyRange range, long splitPoint) {
		RangeState state = this.ranges.get(range);
		if (state == null || splitPoint <= range.low() || splitPoint >= range.high() || isMovingOrAssigned(range)) {
			return;
		}
		this.ranges.remove(range);
		KeyRange first = new KeyRange(range.low(), splitPoint);
		KeyRange second = new KeyRange(splitPoint, range.high());
		this.ranges.put(first, state.withRange(first));
		this.ranges.put(second, state.withRange(second));
	}

	private boolean isMovingOrAssigned(KeyRange range) {
		return this.pendingMoves.containsKey(range) || this.newlyAssigned.contains(range);
	}

	// Merges adjacent ranges with the same owner and fence. If the fences differ, the
	// owner keeps separate records of request ids for them, so both ranges are first
	// released and granted again together; a later plan finds them under one fence.
	private void merge(KeyRange first, KeyRange second) {
		RangeState firstState = this.ranges.get(first);
		RangeState secondState = this.ranges.get(second);
		if (firstState == null || secondState == null || first.high() != second.low() || isMovingOrAssigned(first)
				|| isMovingOrAssigned(second) || !firstState.owner().equals(secondState.owner())) {
			return;
		}
		if (!firstState.fence().equals(secondState.fence())) {
			releaseAndRegrant(firstState);
			releaseAndRegrant(secondState);
			return;
		}
		this.ranges.remove(first);
		this.ranges.remove(second);
		KeyRange merged = new KeyRange(first.low(), second.high());
		this.ranges.put(merged, firstState.withRange(merged));
	}

	private void releaseAndRegrant(RangeState state) {
		if (state.owner().isPresent()) {
			PlannedMove move = new PlannedMove(state.held(), state.owner(), MoveCause.BALANCE);
			this.newMoves.add(move);
			this.pendingMoves.put(state.range(), move);
		}
	}

	private void assignUnowned() {
		List<RangeState> unowned = this.ranges.values().stream().filter((range) -> range.owner().isEmpty()).toList();
		for (RangeState range : unowned) {
			RowPlanner.leastLoaded(this.eligibleOwners, RowPlanner.pointsByOwner(List.copyOf(this.ranges.values())))
				.ifPresent((to) -> assign(range, to));
		}
	}

	// If no instance can take the ranges of a leaving instance, it releases them without
	// a successor after a waiting time; otherwise it could never stop.
	private void releaseRangesOfLeavingMembers() {
		if (!this.eligibleOwners.isEmpty()) {
			return;
		}
		List<InstanceId> leavingInstances = this.original.members()
			.stream()
			.filter((member) -> member.phase() != MemberPhase.ACTIVE)
			.filter((member) -> !this.facts.awaitsSuccessor().test(member))
			.map(MemberInfo::instance)
			.toList();
		this.ranges.values()
			.stream()
			.filter((range) -> range.owner().filter(leavingInstances::contains).isPresent()
					&& !isMovingOrAssigned(range.range()))
			.forEach((range) -> this.newMoves.add(new PlannedMove(range.held(), Optional.empty(), MoveCause.LEAVING)));
	}

	CellRow nextRow(long version) {
		List<RangeState> allRanges = new ArrayList<>(
				this.original.ranges().stream().filter((range) -> !range.service().equals(this.service)).toList());
		this.ranges.values()
			.forEach((range) -> allRanges.add((this.newlyAssigned.contains(range.range()))
					? range.ownedBy(range.owner().orElseThrow(), version) : range));
		return this.original.withRanges(allRanges);
	}

	List<PlannedMove> newMoves() {
		return this.newMoves;
	}

}
