package org.brasspier.core.placement;

import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;

import org.brasspier.core.placement.PlacementStep.MoveCause;

/**
 * Shifts load from members that have more than their share. Made for hot keys that come
 * and go: the busiest member's queue grows while others rest. Limits: nothing below the
 * trigger, which grows with what was moved lately; nothing that has not rested; at most
 * eight shifts a plan, then the next window is awaited. Not thread-safe.
 */
final class LoadRebalancer {

	private final PlanBuilder board;

	private final PlacementInput input;

	private final PlacementRules rules;

	LoadRebalancer(PlanBuilder board, PlacementInput input) {
		this.board = board;
		this.input = input;
		this.rules = PlacementRules.of(input.weights(), board.meanMemberLoad());
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
		double busiest = this.board.members().stream().mapToDouble(MemberLoad::utilization).max().orElse(0);
		return busiest / this.board.meanUtilization() - 1;
	}

	// The share of the space that moved, each move counting less as it ages.
	private double recentlyMovedShare() {
		return this.board.ranges().mapToDouble((piece) -> {
			double age = this.input.nowMillis() - piece.movedAtMillis();
			double freshness = piece.touched() ? 1 : Math.clamp(1 - age / PlacementRules.MOVE_HISTORY_MILLIS, 0, 1);
			return piece.spaceShare() * freshness;
		}).sum();
	}

	private boolean shift(boolean large) {
		MemberLoad donor = this.board.members()
			.stream()
			.max(Comparator.comparingDouble(MemberLoad::utilization))
			.orElseThrow();
		MemberLoad receiver = this.board.members().stream().min(this.board.leastUtilizedWith(0)).orElseThrow();
		if (receiver.utilization() > PlacementRules.MAX_RECEIVER_UTILIZATION) {
			return false;
		}
		double mean = this.board.meanUtilization();
		double surplus = donor.load() - mean * donor.capacity();
		double room = mean * receiver.capacity() - receiver.load();
		double wanted = Math.min(surplus, room);
		Optional<PlannedRange> piece = choose(donor, wanted, large);
		piece.ifPresent((chosen) -> this.board.move(chosen, receiver, MoveCause.BALANCE));
		return piece.isPresent() || splitForMove(donor, wanted, large);
	}

	// Of the pieces that fit, the one with the least price for each slot that it moves;
	// none that would take more than ten moves to make up the surplus.
	private Optional<PlannedRange> choose(MemberLoad donor, double wanted, boolean large) {
		return movable(donor, large)
			.filter((piece) -> this.board.weight(piece) <= wanted * 1.1 && this.board.weight(piece) >= wanted * 0.1)
			.min(Comparator.comparingDouble(this::costPerSlot));
	}

	private Stream<PlannedRange> movable(MemberLoad donor, boolean large) {
		Predicate<PlannedRange> rested = (piece) -> !piece.touched()
				&& this.input.nowMillis() - piece.movedAtMillis() >= PlacementRules.MIN_DWELL_MILLIS;
		return this.board.rangesOf(donor)
			.filter(rested)
			.filter((piece) -> large || piece.spaceShare() < PlacementRules.SMALL_SPACE_SHARE);
	}

	private double costPerSlot(PlannedRange piece) {
		PlacementWeights weights = this.input.weights();
		double total = Math.max(Double.MIN_NORMAL, this.board.meanMemberLoad() * this.board.members().size());
		double warmState = weights.churn() * piece.spaceShare();
		// While it moves, its requests wait; a cold neighbour's wait hurts fewer callers.
		double unserved = weights.unavailable() * piece.busySlots() / total;
		return (warmState + unserved) / this.board.weight(piece);
	}

	private boolean splitForMove(MemberLoad donor, double wanted, boolean large) {
		if (this.board.rangeCount() >= PlacementRules.MAX_RANGES_PER_MEMBER * this.board.members().size()) {
			return false;
		}
		double hotFrom = this.board.meanMemberLoad() * PlacementRules.MAX_RANGE_LOAD_SHARE;
		Optional<PlannedRange> candidate = this.board.rangesOf(donor)
			.filter((piece) -> !piece.touched() && !piece.single())
			.filter((piece) -> this.board.weight(piece) > wanted * 1.1)
			.filter((piece) -> large || piece.hottest().filter((hot) -> hot.busySlots() >= hotFrom).isPresent())
			.max(Comparator.comparingDouble(this.board::weight));
		candidate.ifPresent((piece) -> BalancingPlacement.split(this.board, piece, hotFrom));
		return candidate.isPresent();
	}

}
