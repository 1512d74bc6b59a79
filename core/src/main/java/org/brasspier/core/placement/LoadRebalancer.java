package org.brasspier.core.placement;

import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;

import org.brasspier.core.placement.PlacementStep.MoveCause;

/**
 * Moves load away from members that exceed their share, as when hot keys come and go and
 * the busiest member's queue grows while others are idle. Limits: no moves below the
 * trigger, which grows with the share of the space that moved recently; no range before
 * its minimum dwell time has passed; at most eight moves in one plan, after which the
 * next window is awaited. Not thread-safe.
 */
final class LoadRebalancer {

	private final PlanBuilder plan;

	private final PlacementInput input;

	private final PlacementRules rules;

	LoadRebalancer(PlanBuilder plan, PlacementInput input) {
		this.plan = plan;
		this.input = input;
		this.rules = PlacementRules.of(input.weights(), plan.meanMemberLoad());
	}

	void plan() {
		double excess = excess();
		if (excess <= this.rules.trigger()) {
			return;
		}
		double moved = Math.min(PlacementRules.MAX_MOVED_SHARE, recentlyMovedShare());
		boolean large = excess > this.rules.trigger() * (1 + moved / PlacementRules.MOVED_SHARE);
		for (int shifts = 0; shifts < PlacementRules.MAX_SHIFTS && excess() > this.rules.target(); shifts++) {
			if (!shift(large)) {
				return;
			}
		}
	}

	private double excess() {
		double busiest = this.plan.members().stream().mapToDouble(MemberLoad::utilization).max().orElse(0);
		return busiest / this.plan.meanUtilization() - 1;
	}

	// Share of the space that moved recently; each move counts less as it ages.
	private double recentlyMovedShare() {
		return this.plan.ranges().mapToDouble((planned) -> {
			double age = this.input.nowMillis() - planned.movedAtMillis();
			double recency = planned.touched() ? 1 : Math.clamp(1 - age / PlacementRules.MOVE_HISTORY_MILLIS, 0, 1);
			return planned.spaceShare() * recency;
		}).sum();
	}

	private boolean shift(boolean large) {
		MemberLoad donor = this.plan.members()
			.stream()
			.max(Comparator.comparingDouble(MemberLoad::utilization))
			.orElseThrow();
		MemberLoad receiver = this.plan.members().stream().min(this.plan.leastUtilizedWith(0)).orElseThrow();
		if (receiver.utilization() > PlacementRules.MAX_RECEIVER_UTILIZATION) {
			return false;
		}
		double mean = this.plan.meanUtilization();
		double surplus = donor.load() - mean * donor.capacity();
		double room = mean * receiver.capacity() - receiver.load();
		double amount = Math.min(surplus, room);
		Optional<PlannedRange> planned = choose(donor, amount, large);
		planned.ifPresent((chosen) -> this.plan.move(chosen, receiver, MoveCause.BALANCE));
		return planned.isPresent() || splitForMove(donor, amount, large);
	}

	// Returns the fitting range with the lowest cost for each busy slot that it moves.
	// Ranges so small that it would take more than ten moves to remove the surplus are
	// excluded.
	private Optional<PlannedRange> choose(MemberLoad donor, double amount, boolean large) {
		return movable(donor, large)
			.filter((planned) -> this.plan.weight(planned) <= amount * 1.1 && this.plan.weight(planned) >= amount * 0.1)
			.min(Comparator.comparingDouble(this::costPerSlot));
	}

	private Stream<PlannedRange> movable(MemberLoad donor, boolean large) {
		Predicate<PlannedRange> hasDwelt = (planned) -> !planned.touched()
				&& this.input.nowMillis() - planned.movedAtMillis() >= PlacementRules.MIN_DWELL_MILLIS;
		return this.plan.rangesOf(donor)
			.filter(hasDwelt)
			.filter((planned) -> large || planned.spaceShare() < PlacementRules.SMALL_SPACE_SHARE);
	}

	private double costPerSlot(PlannedRange planned) {
		PlacementWeights weights = this.input.weights();
		double total = Math.max(Double.MIN_NORMAL, this.plan.meanMemberLoad() * this.plan.members().size());
		double warmState = weights.churn() * planned.spaceShare();
		// The requests of a range wait while it moves, so moving a less busy range
		// affects fewer callers.
		double unserved = weights.unavailable() * planned.busySlots() / total;
		return (warmState + unserved) / this.plan.weight(planned);
	}

	private boolean splitForMove(MemberLoad donor, double amount, boolean large) {
		if (this.plan.rangeCount() >= PlacementRules.MAX_RANGES_PER_MEMBER * this.plan.members().size()) {
			return false;
		}
		double minHotSlots = this.plan.meanMemberLoad() * PlacementRules.MAX_RANGE_LOAD_SHARE;
		Optional<PlannedRange> candidate = this.plan.rangesOf(donor)
			.filter((planned) -> !planned.touched() && !planned.single())
			.filter((planned) -> this.plan.weight(planned) > amount * 1.1)
			.filter((planned) -> large || planned.hottest().filter((hot) -> hot.busySlots() >= minHotSlots).isPresent())
			.max(Comparator.comparingDouble(this.plan::weight));
		candidate.ifPresent((planned) -> BalancingPlacement.split(this.plan, planned, minHotSlots));
		return candidate.isPresent();
	}

}
