package org.brasspier.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.placement.PlacementInput.HotPoint;
import org.brasspier.core.placement.PlacementInput.Member;
import org.brasspier.core.placement.PlacementInput.Phase;
import org.brasspier.core.placement.PlacementStep.MoveCause;

/**
 * Ranges and members of one service during planning. Applies each step to this state and
 * records it. Not thread-safe.
 */
final class PlanBuilder {

	/**
	 * Load attributed to ranges for their size alone, as a share of the service's load.
	 * Idle ranges may get requests later, so they are spread as well.
	 */
	private static final double IDLE_LOAD_SHARE = 0.05;

	/**
	 * Minimum load to assume, as a share of all slots. Without it, a few requests would
	 * decide how the space of a service that has just started is divided.
	 */
	private static final double MIN_LOAD_SHARE = 0.01;

	private final PlacementInput input;

	private final Map<InstanceId, MemberLoad> members;

	private final TreeMap<Long, PlannedRange> ranges = new TreeMap<>();

	private final List<PlacementStep> splits = new ArrayList<>();

	private final List<PlacementStep> moves = new ArrayList<>();

	private final List<PlacementStep> merges = new ArrayList<>();

	private final double idleLoad;

	PlanBuilder(PlacementInput input) {
		this.input = input;
		this.members = input.members()
			.stream()
			.filter((member) -> member.phase() == Phase.ACTIVE || member.phase() == Phase.COLD)
			.collect(Collectors.toMap(Member::instance, MemberLoad::new, (first, second) -> first, TreeMap::new));
		double busy = input.ranges().stream().mapToDouble(PlacementInput.Range::busySlots).sum();
		int slots = this.members.values().stream().mapToInt((member) -> member.member().slots()).sum();
		this.idleLoad = Math.max(MIN_LOAD_SHARE * Math.max(1, slots), busy * IDLE_LOAD_SHARE);
		input.ranges().forEach(this::addRange);
	}

	private void addRange(PlacementInput.Range range) {
		// An owner that is not among the members counts as lost.
		Optional<InstanceId> owner = range.owner().filter((instance) -> phase(instance) != Phase.LOST);
		PlannedRange planned = PlannedRange.of(range, owner);
		this.ranges.put(range.range().low(), planned);
		ownerOf(planned).ifPresent((member) -> member.add(weight(planned)));
	}

	Collection<MemberLoad> members() {
		return this.members.values();
	}

	Stream<PlannedRange> ranges() {
		return List.copyOf(this.ranges.values()).stream();
	}

	Stream<PlannedRange> rangesOf(MemberLoad member) {
		return ranges().filter((planned) -> planned.owner().filter(member.member().instance()::equals).isPresent());
	}

	int rangeCount() {
		return this.ranges.size();
	}

	Optional<MemberLoad> ownerOf(PlannedRange planned) {
		return planned.owner().map(this.members::get);
	}

	Phase phase(InstanceId instance) {
		return this.input.members()
			.stream()
			.filter((member) -> member.instance().equals(instance))
			.findFirst()
			.map(Member::phase)
			.orElse(Phase.LOST);
	}

	double weight(PlannedRange planned) {
		return planned.busySlots() + planned.spaceShare() * this.idleLoad;
	}

	double capacity() {
		return this.members.values().stream().mapToDouble(MemberLoad::capacity).sum();
	}

	// Weight of all ranges, owned or not, divided by the capacity of all members.
	double meanUtilization() {
		return this.ranges.values().stream().mapToDouble(this::weight).sum() / capacity();
	}

	// Distance of a range's load density from the service's mean, on a logarithmic scale:
	// twice the mean and half the mean are equally far.
	double densityDeviation(PlannedRange planned) {
		double all = this.ranges.values().stream().mapToDouble(this::weight).sum();
		return Math.abs(Math.log(weight(planned) / all / planned.spaceShare()));
	}

	double meanMemberLoad() {
		return this.ranges.values().stream().mapToDouble(this::weight).sum() / Math.max(1, this.members.size());
	}

	double domainLoad(MemberLoad member) {
		return this.members.values()
			.stream()
			.filter((other) -> other.member().domain().equals(member.member().domain()))
			.mapToDouble(MemberLoad::utilization)
			.sum();
	}

	Comparator<MemberLoad> leastUtilizedWith(double weight) {
		return Comparator.comparingDouble((MemberLoad member) -> member.utilizationWith(weight))
			.thenComparingDouble(this::domainLoad)
			.thenComparing((member) -> member.member().instance());
	}

	void move(PlannedRange planned, MemberLoad to, MoveCause cause) {
		ownerOf(planned).ifPresent((member) -> member.remove(weight(planned)));
		this.ranges.put(planned.range().low(), planned.ownedBy(to.member().instance()));
		to.add(weight(planned));
		this.moves.add(new PlacementStep.Move(planned.range(), to.member().instance(), cause));
	}

	void split(PlannedRange planned, long at) {
		replace(planned, List.of(planned.part(planned.range().low(), at), planned.part(at, planned.range().high())));
		this.splits.add(new PlacementStep.Split(planned.range(), at));
	}

	// Splits a hot point off from both of its neighbours, so that each part can move
	// alone.
	void isolate(PlannedRange planned, HotPoint hot) {
		PlannedRange rest = planned;
		if (hot.point() > planned.range().low()) {
			split(rest, hot.point());
			rest = rangeStartingAt(hot.point());
		}
		if (hot.point() + 1 < rest.range().high()) {
			split(rest, hot.point() + 1);
		}
	}

	void merge(PlannedRange first, PlannedRange second) {
		ownerOf(first).ifPresent((member) -> member.remove(0));
		this.ranges.remove(second.range().low());
		KeyRange joined = new KeyRange(first.range().low(), second.range().high());
		this.ranges.put(joined.low(), new PlannedRange(joined, first.owner(), first.busySlots() + second.busySlots(),
				Optional.empty(), Math.max(first.movedAtMillis(), second.movedAtMillis()), true));
		this.merges.add(new PlacementStep.Merge(first.range(), second.range()));
	}

	private PlannedRange rangeStartingAt(long low) {
		PlannedRange planned = this.ranges.get(low);
		if (planned == null) {
			throw new IllegalStateException("no range begins at %d".formatted(low));
		}
		return planned;
	}

	private void replace(PlannedRange planned, List<PlannedRange> parts) {
		ownerOf(planned).ifPresent((member) -> {
			member.remove(weight(planned));
			parts.forEach((part) -> member.add(weight(part)));
		});
		parts.forEach((part) -> this.ranges.put(part.range().low(), part));
	}

	// Splits come first, since moves refer to the ranges that they create; merges affect
	// neither.
	List<PlacementStep> steps() {
		List<PlacementStep> all = new ArrayList<>(this.splits);
		all.addAll(this.moves);
		all.addAll(this.merges);
		return List.copyOf(all);
	}

}
