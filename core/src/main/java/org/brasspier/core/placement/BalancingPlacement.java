package org.brasspier.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.brasspier.core.placement.PlacementInput.HotPoint;
import org.brasspier.core.placement.PlacementInput.Phase;
import org.brasspier.core.placement.PlacementStep.MoveCause;

/**
 * Balances load over members and failure domains with few moves. Assigns ranges that have
 * no owner, moves a new member's share to it in one batch, and rebalances load only where
 * the excess justifies the loss of warm state and the unavailable time that a move costs.
 * Stateless and thread-safe; the same input gives the same steps.
 */
public final class BalancingPlacement implements PlacementPolicy {

	@Override
	public List<PlacementStep> plan(PlacementInput input) {
		PlanBuilder plan = new PlanBuilder(input);
		if (plan.members().isEmpty()) {
			return List.of();
		}
		spreadUnowned(plan);
		fillNewMembers(plan, input);
		new LoadRebalancer(plan, input).plan();
		new RangeMerger(plan, input).plan();
		return plan.steps();
	}

	// Handles a member that is lost or leaving. If all its ranges went to one survivor,
	// that member's queue would fill up. Only the ranges it owned move, so churn is
	// limited to its share.
	private static void spreadUnowned(PlanBuilder plan) {
		double largest = plan.meanMemberLoad() * PlacementRules.MAX_RANGE_LOAD_SHARE;
		while (splitLargestUnowned(plan, largest)) {
			// Each split divides a range at its middle or at its hot point; the number of
			// ranges is bounded.
		}
		plan.ranges()
			.filter((planned) -> unownedCause(plan, planned).isPresent())
			.sorted(Comparator.comparingDouble(plan::weight).reversed())
			.forEach((planned) -> plan.members()
				.stream()
				.min(plan.leastUtilizedWith(plan.weight(planned)))
				.ifPresent((member) -> plan.move(planned, member, unownedCause(plan, planned).orElse(MoveCause.LOSS))));
	}

	private static boolean splitLargestUnowned(PlanBuilder plan, double largest) {
		if (plan.rangeCount() >= PlacementRules.MAX_RANGES_PER_MEMBER * plan.members().size()) {
			return false;
		}
		Optional<PlannedRange> tooLarge = plan.ranges()
			.filter((planned) -> unownedCause(plan, planned).isPresent())
			.filter((planned) -> !planned.single() && plan.weight(planned) > largest)
			.max(Comparator.comparingDouble(plan::weight));
		tooLarge.ifPresent((planned) -> split(plan, planned, largest));
		return tooLarge.isPresent();
	}

	static void split(PlanBuilder plan, PlannedRange planned, double minHotSlots) {
		Optional<HotPoint> hot = planned.hottest().filter((point) -> point.busySlots() >= minHotSlots);
		if (hot.isPresent()) {
			plan.isolate(planned, hot.get());
		}
		else {
			plan.split(planned, planned.range().low() + planned.range().size() / 2);
		}
	}

	private static Optional<MoveCause> unownedCause(PlanBuilder plan, PlannedRange planned) {
		if (planned.owner().isEmpty()) {
			return Optional.of(MoveCause.LOSS);
		}
		return planned.owner().map(plan::phase).filter(Phase.LEAVING::equals).map((phase) -> MoveCause.LEAVING);
	}

	// Fills a member that has joined or whose warm share has grown. One batch does it,
	// since many small steps would move some ranges twice. The member gets no more than
	// its cold server can take, and gets ranges of typical load density: the hottest ones
	// alone would use up its share of the load with a small part of the space, which
	// becomes uneven when other keys get hot.
	private static void fillNewMembers(PlanBuilder plan, PlacementInput input) {
		plan.members()
			.stream()
			.filter((member) -> member.member().phase() == Phase.COLD || member.rangeCount() == 0)
			.forEach((member) -> fill(plan, input, member));
	}

	private static void fill(PlanBuilder plan, PlacementInput input, MemberLoad newMember) {
		double share = plan.meanUtilization() * newMember.capacity();
		// Within 10 % is close enough; a smaller tolerance would move ranges because of
		// noise.
		if (newMember.load() > 0.9 * share) {
			return;
		}
		for (int moves = 0; moves < PlacementRules.MAX_RANGES_PER_MEMBER; moves++) {
			double missing = share - newMember.load();
			Optional<MemberLoad> donor = plan.members()
				.stream()
				.filter((member) -> member != newMember && member.utilization() > plan.meanUtilization())
				.max(Comparator.comparingDouble(MemberLoad::utilization));
			Optional<PlannedRange> planned = donor.flatMap((member) -> plan.rangesOf(member)
				.filter((each) -> !each.touched() && plan.weight(each) <= missing)
				.min(Comparator.comparingDouble(plan::densityDeviation)));
			if (planned.isPresent()) {
				plan.move(planned.get(), newMember, MoveCause.JOIN);
			}
			else if (donor.isEmpty() || missing < 0.1 * share || !splitLargest(plan, donor.get())) {
				return;
			}
		}
	}

	private static boolean splitLargest(PlanBuilder plan, MemberLoad donor) {
		if (plan.rangeCount() >= PlacementRules.MAX_RANGES_PER_MEMBER * plan.members().size()) {
			return false;
		}
		Optional<PlannedRange> largest = plan.rangesOf(donor)
			.filter((planned) -> !planned.touched() && !planned.single())
			.max(Comparator.comparingDouble(plan::weight));
		largest
			.ifPresent((planned) -> split(plan, planned, plan.meanMemberLoad() * PlacementRules.MAX_RANGE_LOAD_SHARE));
		return largest.isPresent();
	}

}
