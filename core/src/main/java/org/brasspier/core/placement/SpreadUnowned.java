package org.brasspier.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.brasspier.core.InstanceId;
import org.brasspier.core.placement.PlacementInput.Member;
import org.brasspier.core.placement.PlacementInput.Phase;
import org.brasspier.core.placement.PlacementInput.Range;

/**
 * The minimal policy: assigns ranges that have no owner, or whose owner is leaving, one
 * by one to the instance that owns the fewest points for each slot. Stateless and
 * thread-safe.
 */
public final class SpreadUnowned implements PlacementPolicy {

	@Override
	public List<PlacementStep> plan(PlacementInput input) {
		Map<InstanceId, Long> points = new HashMap<>();
		input.ranges()
			.forEach((range) -> range.owner()
				.ifPresent((owner) -> points.merge(owner, range.range().size(), Long::sum)));
		List<PlacementStep> steps = new ArrayList<>();
		for (Range range : input.ranges()) {
			Optional<PlacementStep.MoveCause> cause = cause(range, input.members());
			Optional<Member> target = leastLoaded(input.members(), points);
			if (cause.isPresent() && target.isPresent()) {
				points.merge(target.get().instance(), range.range().size(), Long::sum);
				steps.add(new PlacementStep.Move(range.range(), target.get().instance(), cause.get()));
			}
		}
		return steps;
	}

	private static Optional<PlacementStep.MoveCause> cause(Range range, List<Member> members) {
		Phase phase = range.owner()
			.flatMap((owner) -> members.stream().filter((member) -> member.instance().equals(owner)).findFirst())
			.map(Member::phase)
			.orElse(Phase.LOST);
		return switch (phase) {
			case LOST -> Optional.of(PlacementStep.MoveCause.LOSS);
			case LEAVING -> Optional.of(PlacementStep.MoveCause.LEAVING);
			case ACTIVE, COLD -> Optional.empty();
		};
	}

	private static Optional<Member> leastLoaded(List<Member> members, Map<InstanceId, Long> points) {
		return members.stream()
			.filter((member) -> member.phase() == Phase.ACTIVE || member.phase() == Phase.COLD)
			.min(Comparator
				.comparingDouble(
						(Member member) -> points.getOrDefault(member.instance(), 0L) / (double) member.slots())
				.thenComparing(Member::instance));
	}

}
