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
 * The ranges and members of one service while a plan is made: every step that is taken
 * here is recorded. Not thread-safe.
 */
final class PlanBuilder {

	/**
	 * The load that a range is taken to have for its size alone, as a share of what the
	 * service carries: ranges that rest now will have requests one day, so they are
	 * spread as well.
	 */
	private static final double IDLE_LOAD_SHARE = 0.05;

	/**
	 * The least load to reckon with, as a share of all slots. Made for a service that has
	 * just started: a handful of requests must not decide who owns how much of the space.
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
		int slots = this.members.values().stream().mapToInt((seat) -> seat.member().slots()).sum();
		this.idleLoad = Math.max(MIN_LOAD_SHARE * Math.max(1, slots), busy * IDLE_LOAD_SHARE);
		input.ranges().forEach(this::addRange);
	}

	private void addRange(PlacementInput.Range range) {
		// An owner that nobody lists any more is as good as lost.
		Optional<InstanceId> owner = range.owner().filter((instance) -> phase(instance) != Phase.LOST);
		PlannedRange piece = PlannedRange.of(range, owner);
		this.ranges.put(range.range().low(), piece);
		ownerOf(piece).ifPresent((seat) -> seat.add(weight(piece)));
	}

	Collection<MemberLoad> members() {
		return this.members.values();
	}

	Stream<PlannedRange> ranges() {
		return List.copyOf(this.ranges.values()).stream();
	}

	Stream<PlannedRange> rangesOf(MemberLoad seat) {
		return ranges().filter((piece) -> piece.owner().filter(seat.member().instance()::equals).isPresent());
	}

	int rangeCount() {
		return this.ranges.size();
	}

	Optional<MemberLoad> ownerOf(PlannedRange piece) {
		return piece.owner().map(this.members::get);
	}

	Phase phase(InstanceId instance) {
		return this.input.members()
			.stream()
			.filter((member) -> member.instance().equals(instance))
			.findFirst()
			.map(Member::phase)
			.orElse(Phase.LOST);
	}

	double weight(PlannedRange piece) {
		return piece.busySlots() + piece.spaceShare() * this.idleLoad;
	}

	double capacity() {
		return this.members.values().stream().mapToDouble(MemberLoad::capacity).sum();
	}

	// What all pieces weigh, owned or not, over what the seats can take.
	double meanUtilization() {
		return this.ranges.values().stream().mapToDouble(this::weight).sum() / capacity();
	}

	// How far a piece is from carrying the usual load for its size, on a scale on which
	// twice and half are equally far.
	double densityDeviation(PlannedRange piece) {
		double all = this.ranges.values().stream().mapToDouble(this::weight).sum();
		return Math.abs(Math.log(weight(piece) / all / piece.spaceShare()));
	}

	double meanMemberLoad() {
		return this.ranges.values().stream().mapToDouble(this::weight).sum() / Math.max(1, this.members.size());
	}

	double domainLoad(MemberLoad seat) {
		return this.members.values()
			.stream()
			.filter((other) -> other.member().domain().equals(seat.member().domain()))
			.mapToDouble(MemberLoad::utilization)
			.sum();
	}

	Comparator<MemberLoad> leastUtilizedWith(double weight) {
		return Comparator.comparingDouble((MemberLoad seat) -> seat.utilizationWith(weight))
			.thenComparingDouble(this::domainLoad)
			.thenComparing((seat) -> seat.member().instance());
	}

	void move(PlannedRange piece, MemberLoad to, MoveCause cause) {
		ownerOf(piece).ifPresent((seat) -> seat.remove(weight(piece)));
		this.ranges.put(piece.range().low(), piece.ownedBy(to.member().instance()));
		to.add(weight(piece));
		this.moves.add(new PlacementStep.Move(piece.range(), to.member().instance(), cause));
	}

	void split(PlannedRange piece, long at) {
		replace(piece, List.of(piece.part(piece.range().low(), at), piece.part(at, piece.range().high())));
		this.splits.add(new PlacementStep.Split(piece.range(), at));
	}

	// Cuts a hot point out of its neighbours, so that either can move alone.
	void isolate(PlannedRange piece, HotPoint hot) {
		PlannedRange rest = piece;
		if (hot.point() > piece.range().low()) {
			split(rest, hot.point());
			rest = rangeStartingAt(hot.point());
		}
		if (hot.point() + 1 < rest.range().high()) {
			split(rest, hot.point() + 1);
		}
	}

	void merge(PlannedRange first, PlannedRange second) {
		ownerOf(first).ifPresent((seat) -> seat.remove(0));
		this.ranges.remove(second.range().low());
		KeyRange joined = new KeyRange(first.range().low(), second.range().high());
		this.ranges.put(joined.low(), new PlannedRange(joined, first.owner(), first.busySlots() + second.busySlots(),
				Optional.empty(), Math.max(first.movedAtMillis(), second.movedAtMillis()), true));
		this.merges.add(new PlacementStep.Merge(first.range(), second.range()));
	}

	private PlannedRange rangeStartingAt(long low) {
		PlannedRange piece = this.ranges.get(low);
		if (piece == null) {
			throw new IllegalStateException("no range begins at %d".formatted(low));
		}
		return piece;
	}

	private void replace(PlannedRange piece, List<PlannedRange> parts) {
		ownerOf(piece).ifPresent((seat) -> {
			seat.remove(weight(piece));
			parts.forEach((part) -> seat.add(weight(part)));
		});
		parts.forEach((part) -> this.ranges.put(part.range().low(), part));
	}

	// Splits first, since moves name the ranges that they make; merges touch neither.
	List<PlacementStep> steps() {
		List<PlacementStep> all = new ArrayList<>(this.splits);
		all.addAll(this.moves);
		all.addAll(this.merges);
		return List.copyOf(all);
	}

}
