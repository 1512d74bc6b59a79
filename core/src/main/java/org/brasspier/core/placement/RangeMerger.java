package org.brasspier.core.placement;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.placement.PlacementStep.MoveCause;

/**
 * Joins ranges that no longer need to be apart, so that the number of ranges stays
 * bounded while hot keys come and go. A point that has cooled first goes back to a
 * neighbour's owner. Not thread-safe.
 */
final class RangeMerger {

	/** Merges in one plan, so that the row changes by little at a time. */
	private static final int MAX_MERGES = 8;

	private final PlanBuilder board;

	private final PlacementInput input;

	RangeMerger(PlanBuilder board, PlacementInput input) {
		this.board = board;
		this.input = input;
	}

	void plan() {
		int surplus = this.board.rangeCount() - PlacementRules.TARGET_RANGES_PER_MEMBER * this.board.members().size();
		for (int merges = Math.min(surplus, MAX_MERGES); merges > 0; merges--) {
			if (!mergeOne()) {
				return;
			}
		}
	}

	private boolean mergeOne() {
		List<PlannedRange> pieces = this.board.ranges().toList();
		for (int i = 0; i + 1 < pieces.size(); i++) {
			PlannedRange first = pieces.get(i);
			PlannedRange second = pieces.get(i + 1);
			if (canMerge(first, second) && first.owner().equals(second.owner())) {
				this.board.merge(first, second);
				return true;
			}
		}
		return returnCooledPoint(pieces);
	}

	private boolean returnCooledPoint(List<PlannedRange> pieces) {
		for (int i = 0; i + 1 < pieces.size(); i++) {
			PlannedRange first = pieces.get(i);
			PlannedRange second = pieces.get(i + 1);
			Optional<MemberLoad> home = this.board.ownerOf(second);
			if (first.single() && canMerge(first, second) && home.isPresent()) {
				this.board.move(first, home.get(), MoveCause.BALANCE);
				return true;
			}
		}
		return false;
	}

	private boolean canMerge(PlannedRange first, PlannedRange second) {
		double together = this.board.weight(first) + this.board.weight(second);
		return rested(first) && rested(second)
				&& together < this.board.meanMemberLoad() * PlacementRules.MAX_RANGE_LOAD_SHARE / 2;
	}

	private boolean rested(PlannedRange piece) {
		return !piece.touched() && piece.owner().isPresent()
				&& this.input.nowMillis() - piece.movedAtMillis() >= PlacementRules.MIN_DWELL_MILLIS;
	}

}
