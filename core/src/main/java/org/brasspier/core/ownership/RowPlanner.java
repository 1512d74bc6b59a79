package org.brasspier.core.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;

/**
 * Computes the next row from the newest known one and from what the primary has learnt
 * since: members that joined or were lost, and ranges that were released. All changes
 * that are due go into one write, since the table accepts a few hundred writes a second
 * for all cells together, and the loss of a failure domain moves the ranges of many
 * members at once. Used for one plan.
 */
final class RowPlanner {

	/**
	 * Initial number of ranges of a service: a few for each member of a full cell.
	 */
	static final int INITIAL_RANGES = 64;

	private final PlanFacts facts;

	private final long version;

	private final List<PlannedMove> moves;

	private CellRow row;

	RowPlanner(PlanFacts facts) {
		this.facts = facts;
		this.version = facts.known().version() + 1;
		this.row = facts.known().row();
		this.moves = new ArrayList<>(facts.moves());
	}

	/**
	 * Computes the plan.
	 * @return the next row, equal to the known one if nothing is due, and the moves that
	 * wait for their owners to release the ranges
	 */
	Plan plan() {
		removeClosedPairs();
		removeLostMembers();
		applyAnnouncements();
		removeDepartedMembers();
		addRangesOfNewServices();
		reassignReleasedRanges();
		applyPlacement();
		this.moves.removeIf((move) -> findOwned(move.held()).isEmpty());
		return new Plan(this.row, List.copyOf(this.moves));
	}

	private void removeClosedPairs() {
		List<ManagerPair> unclosed = new ArrayList<>(this.row.unclosed());
		unclosed.removeAll(this.facts.closed());
		this.row = this.row.withUnclosed(unclosed).withChallenger(Optional.empty()).withDrained(this.facts.drained());
	}

	private void removeLostMembers() {
		for (MemberKey key : this.facts.lost()) {
			this.row = this.row.withoutMember(key.instance())
				.mapRanges((range) -> (range.owner().filter(key.instance()::equals).isPresent())
						? range.withoutOwner(range.marks()) : range);
		}
	}

	private void applyAnnouncements() {
		for (MemberInfo member : this.facts.announced()) {
			Optional<MemberInfo> present = this.row.member(member.instance());
			boolean joins = present.isEmpty() && member.phase() != MemberPhase.LEAVING;
			boolean changes = present.filter((known) -> known.key().equals(member.key())).isPresent();
			if (joins || changes) {
				this.row = this.row.withMember(member);
			}
		}
	}

	private void removeDepartedMembers() {
		List<MemberInfo> staying = this.row.members()
			.stream()
			.filter((member) -> member.phase() != MemberPhase.LEAVING || isManager(member.key())
					|| !this.row.ownedBy(member.instance()).isEmpty())
			.toList();
		this.row = this.row.withMembers(staying);
	}

	private boolean isManager(MemberKey key) {
		return this.row.managers().filter((pair) -> pair.includes(key)).isPresent();
	}

	private void addRangesOfNewServices() {
		Set<ServiceName> known = new TreeSet<>(this.row.ranges().stream().map(RangeState::service).toList());
		List<RangeState> ranges = new ArrayList<>(this.row.ranges());
		this.row.members()
			.stream()
			.flatMap((member) -> member.backend().stream())
			.map(MemberInfo.Backend::service)
			.filter(known::add)
			.forEach((service) -> KeyRange.split(this.facts.placement().initialRanges())
				.forEach((range) -> ranges
					.add(new RangeState(service, range, Optional.empty(), Fence.NONE, List.of()))));
		this.row = this.row.withRanges(ranges);
	}

	private void reassignReleasedRanges() {
		this.row = this.row.mapRanges((range) -> {
			List<CrashMark> marks = this.facts.released().get(range.held());
			return (range.owner().isPresent() && marks != null)
					? moveTarget(range.held()).map((to) -> range.withoutOwner(marks).ownedBy(to, this.version))
						.orElse(range.withoutOwner(marks))
					: range;
		});
	}

	private Optional<InstanceId> moveTarget(HeldRange held) {
		return this.moves.stream()
			.filter((move) -> move.held().equals(held))
			.findFirst()
			.flatMap(PlannedMove::to)
			.filter((to) -> eligibleOwners(held.service()).contains(to));
	}

	private List<InstanceId> eligibleOwners(ServiceName service) {
		return this.row.members()
			.stream()
			.filter((member) -> member.phase() == MemberPhase.ACTIVE && !this.row.drained().contains(member.instance())
					&& !this.facts.suspects().contains(member.key()))
			.filter((member) -> member.backend().filter((backend) -> backend.service().equals(service)).isPresent())
			.map(MemberInfo::instance)
			.toList();
	}

	private void applyPlacement() {
		Set<ServiceName> services = new LinkedHashSet<>(this.row.ranges().stream().map(RangeState::service).toList());
		for (ServiceName service : services) {
			List<RangeState> ranges = this.row.rangesOf(service);
			if (this.facts.balance() || ranges.stream().anyMatch((range) -> range.owner().isEmpty())) {
				ServicePlan plan = new ServicePlan(this.facts, this.row, service, this.moves, eligibleOwners(service));
				plan.run();
				this.row = plan.nextRow(this.version);
				this.moves.addAll(plan.newMoves());
			}
		}
	}

	private Optional<RangeState> findOwned(HeldRange held) {
		return this.row.ranges()
			.stream()
			.filter((range) -> range.owner().isPresent() && range.held().equals(held))
			.findFirst();
	}

	// Fallback for ranges without an owner if the policy's choice is not possible: the
	// instance that owns the fewest points.
	static Optional<InstanceId> leastLoaded(List<InstanceId> eligibleOwners, Map<InstanceId, Long> points) {
		return eligibleOwners.stream()
			.min((a, b) -> Long.compare(points.getOrDefault(a, 0L), points.getOrDefault(b, 0L)));
	}

	static Map<InstanceId, Long> pointsByOwner(List<RangeState> ranges) {
		Map<InstanceId, Long> pointsByOwner = new HashMap<>();
		ranges.forEach((range) -> range.owner()
			.ifPresent((owner) -> pointsByOwner.merge(owner, range.range().size(), Long::sum)));
		return pointsByOwner;
	}

	static Map<KeyRange, RangeState> statesByRange(List<RangeState> ranges) {
		Map<KeyRange, RangeState> statesByRange = new LinkedHashMap<>();
		ranges.forEach((range) -> statesByRange.put(range.range(), range));
		return statesByRange;
	}

	/**
	 * A plan.
	 *
	 * @param row the next row
	 * @param moves the moves that wait for their owners to release the ranges
	 */
	record Plan(CellRow row, List<PlannedMove> moves) {

	}

}
