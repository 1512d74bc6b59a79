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
final class LoadShift {

	private final Board board;

	private final PlacementInput input;

	private final PlacementRules rules;

	LoadShift(Board board, PlacementInput input) {
		this.board = board;
		this.input = input;
		this.rules = PlacementRules.of(input.weights(), board.meanSeatLoad());
	}

	void plan() {
		double excess = excess();
		if (excess <= this.rules.trigger()) {
			return;
		}
		double moved = Math.min(PlacementRules.MOST_MOVED_SHARE, movedLately());
		boolean large = excess > this.rules.trigger() * (1 + moved / PlacementRules.MOVED_SHARE);
		for (int shifts = 0; shifts < PlacementRules.MOST_SHIFTS && excess() > this.rules.target(); shifts++) {
			if (!shift(large)) {
				return;
			}
		}
	}

	private double excess() {
		double busiest = this.board.seats().stream().mapToDouble(Seat::utilization).max().orElse(0);
		return busiest / this.board.meanUtilization() - 1;
	}

	// The share of the space that moved, each move counting less as it ages.
	private double movedLately() {
		return this.board.pieces().mapToDouble((piece) -> {
			double age = this.input.nowMillis() - piece.movedAtMillis();
			double freshness = piece.touched() ? 1 : Math.clamp(1 - age / PlacementRules.MEMORY_MILLIS, 0, 1);
			return piece.spaceShare() * freshness;
		}).sum();
	}

	private boolean shift(boolean large) {
		Seat donor = this.board.seats().stream().max(Comparator.comparingDouble(Seat::utilization)).orElseThrow();
		Seat receiver = this.board.seats().stream().min(this.board.emptiestWith(0)).orElseThrow();
		if (receiver.utilization() > PlacementRules.FULL) {
			return false;
		}
		double mean = this.board.meanUtilization();
		double surplus = donor.load() - mean * donor.capacity();
		double room = mean * receiver.capacity() - receiver.load();
		double wanted = Math.min(surplus, room);
		Optional<Piece> piece = choose(donor, wanted, large);
		piece.ifPresent((chosen) -> this.board.move(chosen, receiver, MoveCause.BALANCE));
		return piece.isPresent() || cutFor(donor, wanted, large);
	}

	// Of the pieces that fit, the one with the least price for each slot that it moves;
	// none that would take more than ten moves to make up the surplus.
	private Optional<Piece> choose(Seat donor, double wanted, boolean large) {
		return movable(donor, large)
			.filter((piece) -> this.board.weight(piece) <= wanted * 1.1 && this.board.weight(piece) >= wanted * 0.1)
			.min(Comparator.comparingDouble(this::priceOfSlot));
	}

	private Stream<Piece> movable(Seat donor, boolean large) {
		Predicate<Piece> rested = (piece) -> !piece.touched()
				&& this.input.nowMillis() - piece.movedAtMillis() >= PlacementRules.DWELL_MILLIS;
		return this.board.piecesOf(donor)
			.filter(rested)
			.filter((piece) -> large || piece.spaceShare() < PlacementRules.SMALL_SHARE);
	}

	private double priceOfSlot(Piece piece) {
		PlacementWeights weights = this.input.weights();
		double total = Math.max(Double.MIN_NORMAL, this.board.meanSeatLoad() * this.board.seats().size());
		double warmState = weights.churn() * piece.spaceShare();
		// While it moves, its requests wait; a cold neighbour's wait hurts fewer callers.
		double unserved = weights.unavailable() * piece.busySlots() / total;
		return (warmState + unserved) / this.board.weight(piece);
	}

	private boolean cutFor(Seat donor, double wanted, boolean large) {
		if (this.board.pieceCount() >= PlacementRules.MOST_PIECES * this.board.seats().size()) {
			return false;
		}
		double hotFrom = this.board.meanSeatLoad() * PlacementRules.PIECE_SHARE;
		Optional<Piece> candidate = this.board.piecesOf(donor)
			.filter((piece) -> !piece.touched() && !piece.single())
			.filter((piece) -> this.board.weight(piece) > wanted * 1.1)
			.filter((piece) -> large || piece.hottest().filter((hot) -> hot.busySlots() >= hotFrom).isPresent())
			.max(Comparator.comparingDouble(this.board::weight));
		candidate.ifPresent((piece) -> BalancingPlacement.cut(this.board, piece, hotFrom));
		return candidate.isPresent();
	}

}
