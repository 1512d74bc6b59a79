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

	private final CellRow before;

	private final ServiceName service;

	private final List<InstanceId> placeable;

	private final Map<KeyRange, RangeState> ranges;

	private final Map<KeyRange, PlannedMove> moving;

	private final List<PlannedMove> newMoves = new ArrayList<>();

	private final List<KeyRange> assigned = new ArrayList<>();

	ServicePlan(PlanFacts facts, CellRow row, ServiceName service, List<PlannedMove> moves,
			List<InstanceId> placeable) {
		this.facts = facts;
		this.before = row;
		this.service = service;
		this.placeable = placeable;
		this.ranges = RowPlanner.byRange(row.rangesOf(service));
		this.moving = new java.util.HashMap<>();
		moves.stream()
			.filter((move) -> move.held().service().equals(service))
			.forEach((move) -> this.moving.put(move.held().range(), move));
	}

	void run() {
		this.facts.placement().policy().plan(input()).forEach(this::apply);
		assignUnowned();
		releaseLeaving();
	}

	private PlacementInput input() {
		List<PlacementInput.Member> members = this.before.members()
			.stream()
			.filter((
					member) -> member.backend().filter((backend) -> backend.service().equals(this.service)).isPresent())
			.map(this::member)
			.toList();
		return new PlacementInput(this.facts.now(), this.service, members,
				this.ranges.values().stream().map(this::range).toList(), this.facts.placement().weights());
	}

	private PlacementInput.Member member(MemberInfo member) {
		double warm = this.facts.warmShare().apply(member);
		return new PlacementInput.Member(member.instance(), member.domain(),
				member.backend().map(MemberInfo.Backend::slots).orElse(1), phase(member, warm), warm);
	}

	private Phase phase(MemberInfo member, double warm) {
		if (member.phase() != MemberPhase.ACTIVE || this.before.drained().contains(member.instance())) {
			return Phase.LEAVING;
		}
		return (warm < 1) ? Phase.COLD : Phase.ACTIVE;
	}

	private PlacementInput.Range range(RangeState range) {
		Optional<InstanceId> planned = Optional.ofNullable(this.moving.get(range.range())).flatMap(PlannedMove::to);
		RangeLoad load = this.facts.load().apply(range.held());
		return new PlacementInput.Range(range.range(), planned.or(range::owner), load.busySlots(), load.hottest(),
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
		if (state == null || !this.placeable.contains(to) || this.moving.containsKey(range)) {
			return;
		}
		if (state.owner().isEmpty()) {
			assign(state, to);
		}
		else if (!state.owner().get().equals(to)) {
			PlannedMove move = new PlannedMove(state.held(), Optional.of(to), cause);
			this.newMoves.add(move);
			this.moving.put(range, move);
		}
	}

	private void assign(RangeState state, InstanceId to) {
		this.assigned.add(state.range());
		this.ranges.put(state.range(),
				new RangeState(state.service(), state.range(), Optional.of(to), state.fence(), state.marks()));
	}

	private void split(KeyRange range, long at) {
		RangeState state = this.ranges.get(range);
		if (state == null || at <= range.low() || at >= range.high() || busy(range)) {
			return;
		}
		this.ranges.remove(range);
		KeyRange first = new KeyRange(range.low(), at);
		KeyRange second = new KeyRange(at, range.high());
		this.ranges.put(first, state.over(first));
		this.ranges.put(second, state.over(second));
	}

	private boolean busy(KeyRange range) {
		return this.moving.containsKey(range) || this.assigned.contains(range);
	}

	// Merges adjacent ranges with the same owner and fence. If the fences differ, the
	// owner keeps separate records of request ids for them, so both ranges are first
	// released and granted again together; a later plan finds them under one fence.
	private void merge(KeyRange first, KeyRange second) {
		RangeState low = this.ranges.get(first);
		RangeState high = this.ranges.get(second);
		if (low == null || high == null || first.high() != second.low() || busy(first) || busy(second)
				|| !low.owner().equals(high.owner())) {
			return;
		}
		if (!low.fence().equals(high.fence())) {
			grantAnew(low);
			grantAnew(high);
			return;
		}
		this.ranges.remove(first);
		this.ranges.remove(second);
		KeyRange joined = new KeyRange(first.low(), second.high());
		this.ranges.put(joined, low.over(joined));
	}

	private void grantAnew(RangeState state) {
		if (state.owner().isPresent()) {
			PlannedMove move = new PlannedMove(state.held(), state.owner(), MoveCause.BALANCE);
			this.newMoves.add(move);
			this.moving.put(state.range(), move);
		}
	}

	private void assignUnowned() {
		List<RangeState> unowned = this.ranges.values().stream().filter((range) -> range.owner().isEmpty()).toList();
		for (RangeState range : unowned) {
			RowPlanner.leastLoaded(this.placeable, RowPlanner.points(List.copyOf(this.ranges.values())))
				.ifPresent((to) -> assign(range, to));
		}
	}

	// If no instance can take the ranges of a leaving instance, it releases them without
	// a successor after a waiting time; otherwise it could never stop.
	private void releaseLeaving() {
		if (!this.placeable.isEmpty()) {
			return;
		}
		List<InstanceId> leavers = this.before.members()
			.stream()
			.filter((member) -> member.phase() != MemberPhase.ACTIVE)
			.filter((member) -> !this.facts.awaitsSuccessor().test(member))
			.map(MemberInfo::instance)
			.toList();
		this.ranges.values()
			.stream()
			.filter((range) -> range.owner().filter(leavers::contains).isPresent() && !busy(range.range()))
			.forEach((range) -> this.newMoves.add(new PlannedMove(range.held(), Optional.empty(), MoveCause.LEAVING)));
	}

	CellRow row(long version) {
		List<RangeState> all = new ArrayList<>(
				this.before.ranges().stream().filter((range) -> !range.service().equals(this.service)).toList());
		this.ranges.values()
			.forEach((range) -> all.add((this.assigned.contains(range.range()))
					? range.ownedBy(range.owner().orElseThrow(), version) : range));
		return this.before.withRanges(all);
	}

	List<PlannedMove> newMoves() {
		return this.newMoves;
	}

}
