package org.brasspier.core.placement;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.placement.PlacementStep.MoveCause;

/**
 * Joins ranges that no longer need to be apart, so that the number of ranges stays
 * bounded while hot keys come and go. A point that has cooled first goes back to a
 * neighbour's owner. Not thread-safe.
 */
final class RangeMerge {

	/** Merges in one plan, so that the row changes by little at a time. */
	private static final int MOST_MERGES = 8;

	private final Board board;

	private final PlacementInput input;

	RangeMerge(Board board, PlacementInput input) {
		this.board = board;
		this.input = input;
	}

	void plan() {
		int surplus = this.board.pieceCount() - PlacementRules.USUAL_PIECES * this.board.seats().size();
		for (int merges = Math.min(surplus, MOST_MERGES); merges > 0; merges--) {
			if (!mergeOne()) {
				return;
			}
		}
	}

	private boolean mergeOne() {
		List<Piece> pieces = this.board.pieces().toList();
		for (int i = 0; i + 1 < pieces.size(); i++) {
			Piece first = pieces.get(i);
			Piece second = pieces.get(i + 1);
			if (small(first, second) && first.owner().equals(second.owner())) {
				this.board.merge(first, second);
				return true;
			}
		}
		return returnCooledPoint(pieces);
	}

	private boolean returnCooledPoint(List<Piece> pieces) {
		for (int i = 0; i + 1 < pieces.size(); i++) {
			Piece first = pieces.get(i);
			Piece second = pieces.get(i + 1);
			Optional<Seat> home = this.board.seatOf(second);
			if (first.single() && small(first, second) && home.isPresent()) {
				this.board.move(first, home.get(), MoveCause.BALANCE);
				return true;
			}
		}
		return false;
	}

	private boolean small(Piece first, Piece second) {
		double together = this.board.weight(first) + this.board.weight(second);
		return rested(first) && rested(second) && together < this.board.meanSeatLoad() * PlacementRules.PIECE_SHARE / 2;
	}

	private boolean rested(Piece piece) {
		return !piece.touched() && piece.owner().isPresent()
				&& this.input.nowMillis() - piece.movedAtMillis() >= PlacementRules.DWELL_MILLIS;
	}

}
