package org.brasspier.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyHash;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;
import org.brasspier.core.placement.PlacementInput.HotPoint;
import org.brasspier.core.placement.PlacementInput.Member;
import org.brasspier.core.placement.PlacementInput.Phase;
import org.brasspier.core.placement.PlacementInput.Range;
import org.brasspier.core.placement.PlacementStep.Move;
import org.brasspier.core.placement.PlacementStep.MoveCause;
import org.brasspier.core.placement.PlacementStep.Split;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class BalancingPlacementTests {

	private static final long NOW = 10_000_000;

	private static final long LONG_AGO = 0;

	private final BalancingPlacement placement = new BalancingPlacement();

	@Test
	void theFirstRangeIsSpreadEvenlyOverAllMembers() {
		List<PlacementStep> steps = plan(members(4),
				List.of(new Range(KeyRange.ALL, Optional.empty(), 0, Optional.empty(), LONG_AGO)));
		moves(steps).collect(Collectors.groupingBy(Move::to, Collectors.summingLong((move) -> move.range().size())))
			.forEach((to, points) -> assertThat(points).isEqualTo(KeyHash.SPACE / 4));
	}

	/**
	 * Guards against overloading one survivor of a lost member because all the lost
	 * ranges go to it. They must spread, and nothing else may move.
	 */
	@Test
	void aLostMembersRangesSpreadAndNothingElseMoves() {
		List<Member> members = Stream.concat(members(3).stream(), Stream.of(member(3, Phase.LOST, 1))).toList();
		List<PlacementStep> steps = plan(members, even(4, 8, 6));
		assertThat(moves(steps).map(Move::cause).distinct()).containsExactly(MoveCause.LOSS);
		assertThat(spaceMoved(steps)).isWithin(1e-9).of(0.25);
		moves(steps).collect(Collectors.groupingBy(Move::to, Collectors.summingLong((move) -> move.range().size())))
			.forEach((to, points) -> assertThat(points / (double) KeyHash.SPACE).isAtMost(0.25 / 3 * 1.3));
	}

	@Test
	void steadyLoadMovesNothing() {
		assertThat(plan(members(4), even(4, 8, 6))).isEmpty();
	}

	@Test
	void aMemberThatJoinsIsFilledInOneBatchUpToItsWarmShare() {
		List<Member> members = Stream.concat(members(3).stream(), Stream.of(member(3, Phase.COLD, 0.5))).toList();
		List<PlacementStep> steps = plan(members, even(3, 16, 6));
		assertThat(moves(steps).map(Move::cause).distinct()).containsExactly(MoveCause.JOIN);
		assertThat(spaceMoved(steps)).isWithin(0.03).of(0.5 / 3.5);
	}

	/**
	 * Guards against unbalanced shares from the start of a service: a few requests had
	 * touched one range while the service started, and a joining member got that range
	 * alone as its share of the load.
	 */
	@Test
	void aMemberThatJoinsAnIdleServiceGetsItsShareOfTheSpace() {
		List<Range> ranges = even(2, 8, 0).stream()
			.map((range) -> new Range(range.range(), range.owner(), (range.range().low() == 0) ? 0.05 : 0,
					Optional.empty(), NOW - 1000))
			.toList();
		assertThat(spaceMoved(plan(members(3), ranges))).isWithin(0.07).of(1 / 3.0);
	}

	@Test
	void aLeavingMemberKeepsNothingAndGetsNothing() {
		List<Member> members = Stream.concat(members(2).stream(), Stream.of(member(2, Phase.LEAVING, 1))).toList();
		List<PlacementStep> steps = plan(members, even(3, 8, 6));
		assertThat(spaceMoved(steps)).isWithin(1e-8).of(1 / 3.0);
		assertThat(moves(steps).map(Move::to)).doesNotContain(instance(2));
	}

	/**
	 * Guards against one hot key that takes most of a server and delays all other keys
	 * there. The key is split off, and either the other ranges or the key itself move to
	 * other servers.
	 */
	@Test
	void aHotPointIsIsolatedAndItsServerRelieved() {
		List<Range> ranges = even(3, 8, 2).stream().map((range) -> {
			HotPoint hot = new HotPoint(range.range().low() + 77, 2);
			return (range.range().low() == 0)
					? new Range(range.range(), range.owner(), 2.25, Optional.of(hot), LONG_AGO) : range;
		}).toList();
		List<PlacementStep> steps = plan(members(3), ranges);
		assertThat(steps).contains(new Split(ranges.getFirst().range(), 77));
		assertThat(moves(steps).map(Move::cause).distinct()).containsExactly(MoveCause.BALANCE);
		double imbalance = Simulated.after(ranges, steps).imbalance(3);
		assertThat(imbalance).isAtMost(1.15);
	}

	@Test
	void aRangeThatHasJustMovedStays() {
		List<Range> ranges = even(3, 8, 2).stream()
			.map((range) -> new Range(range.range(), range.owner(),
					range.owner().equals(Optional.of(instance(0))) ? 1 : 0.1, Optional.empty(), NOW - 1000))
			.toList();
		assertThat(moves(plan(members(3), ranges))).isEmpty();
	}

	@Test
	void theSameInputGivesTheSameSteps() {
		List<Member> members = members(3);
		List<Range> ranges = even(4, 8, 6);
		assertThat(plan(members, ranges)).isEqualTo(plan(members, ranges));
	}

	private List<PlacementStep> plan(List<Member> members, List<Range> ranges) {
		return this.placement
			.plan(new PlacementInput(NOW, new ServiceName("hullbook"), members, ranges, PlacementWeights.EQUAL));
	}

	private static Stream<Move> moves(List<PlacementStep> steps) {
		return steps.stream().filter(Move.class::isInstance).map(Move.class::cast);
	}

	private static double spaceMoved(List<PlacementStep> steps) {
		return moves(steps).mapToDouble((move) -> move.range().size() / (double) KeyHash.SPACE).sum();
	}

	private static List<Member> members(int count) {
		return IntStream.range(0, count).mapToObj((i) -> member(i, Phase.ACTIVE, 1)).toList();
	}

	private static Member member(int index, Phase phase, double warmShare) {
		return new Member(instance(index), new FailureDomain("domain-" + index), 17, phase, warmShare);
	}

	private static InstanceId instance(int index) {
		return new InstanceId("instance-" + index);
	}

	private static List<Range> even(int owners, int each, double busyEach) {
		List<KeyRange> ranges = KeyRange.split(owners * each);
		return IntStream.range(0, ranges.size())
			.mapToObj((i) -> new Range(ranges.get(i), Optional.of(instance(i % owners)), busyEach / each,
					Optional.empty(), LONG_AGO))
			.toList();
	}

	// Computes the load after a plan independently of the planner's own sums.
	private record Simulated(List<Range> before, List<PlacementStep> steps) {

		static Simulated after(List<Range> before, List<PlacementStep> steps) {
			return new Simulated(before, steps);
		}

		double imbalance(int members) {
			double[] load = new double[members];
			this.before.forEach((range) -> {
				double hot = range.hottest().map(HotPoint::busySlots).orElse(0.0);
				range.hottest().ifPresent((point) -> load[owner(range, point.point())] += point.busySlots());
				double rest = range.busySlots() - hot;
				int samples = 64;
				IntStream.range(0, samples)
					.mapToLong((i) -> range.range().low() + range.range().size() * i / samples + 1)
					.forEach((point) -> load[owner(range, point)] += rest / samples);
			});
			double sum = IntStream.range(0, members).mapToDouble((i) -> load[i]).sum();
			return IntStream.range(0, members).mapToDouble((i) -> load[i]).max().orElse(0) / (sum / members);
		}

		private int owner(Range range, long point) {
			InstanceId owner = moves(this.steps).filter((move) -> move.range().contains(new KeyHash(point)))
				.map(Move::to)
				.findFirst()
				.orElseGet(() -> range.owner().orElseThrow());
			return Integer.parseInt(owner.value().substring("instance-".length()));
		}

	}

}
