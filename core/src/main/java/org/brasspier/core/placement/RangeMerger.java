package org.brasspier.core.placement;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.placement.PlacementStep.MoveCause;

/**
 * Merges adjacent ranges that no longer need to be separate, so that the number of ranges
 * stays bounded while hot keys come and go. A hot point that has cooled down is first
 * moved to the owner of the next range. Not thread-safe.
 */
final class RangeMerger {

	/**
	 * Maximum number of merges in one plan, so that the row changes only a little at a
	 * time.
	 */
	private static final int MAX_MERGES = 8;

	private final PlanBuilder plan;

	private final PlacementInput input;

	RangeMerger(PlanBuilder plan, PlacementInput input) {
		this.plan = plan;
		this.input = input;
	}

	void plan() {
		int surplus = this.plan.rangeCount() - PlacementRules.TARGET_RANGES_PER_MEMBER * this.plan.members().size();
		for (int merges = Math.min(surplus, MAX_MERGES); merges > 0; merges--) {
			if (!mergeOne()) {
				return;
			}
		}
	}

	private boolean mergeOne() {
		List<PlannedRange> plannedRanges = this.plan.ranges().toList();
		for (int i = 0; i + 1 < plannedRanges.size(); i++) {
			PlannedRange first = plannedRanges.get(i);
			PlannedRange second = plannedRanges.get(i + 1);
			if (canMerge(first, second) && first.owner().equals(second.owner())) {
				this.plan.merge(first, second);
				return true;
			}
		}
		return returnCooledPoint(plannedRanges);
	}

	private boolean returnCooledPoint(List<PlannedRange> plannedRanges) {
		for (int i = 0; i + 1 < plannedRanges.size(); i++) {
			PlannedRange first = plannedRanges.get(i);
			PlannedRange second = plannedRanges.get(i + 1);
			Optional<MemberLoad> home = this.plan.ownerOf(second);
			if (first.single() && canMerge(first, second) && home.isPresent()) {
				this.plan.move(first, home.get(), MoveCause.BALANCE);
				return true;
			}
		}
		return false;
	}

	private boolean canMerge(PlannedRange first, PlannedRange second) {
		double together = this.plan.weight(first) + this.plan.weight(second);
		return hasDwelt(first) && hasDwelt(second)
				&& together < this.plan.meanMemberLoad() * PlacementRules.MAX_RANGE_LOAD_SHARE / 2;
	}

	private boolean hasDwelt(PlannedRange planned) {
		return !planned.touched() && planned.owner().isPresent()
				&& this.input.nowMillis() - planned.movedAtMillis() >= PlacementRules.MIN_DWELL_MILLIS;
	}

}
