package org.brasspier.core.ownership;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.vavr.collection.SortedMap;
import io.vavr.collection.SortedSet;
import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;
import org.brasspier.core.InstanceId;
import org.brasspier.core.placement.PlacementPolicy;
import org.brasspier.core.placement.PlacementWeights;

/**
 * What a primary learns between two writes of the row. It may be lost with the process,
 * since members repeat all of it until the row shows it. Not thread-safe; cheap to copy.
 */
final class PrimaryState {

	/**
	 * Maximum age of an announcement. Announcements are repeated five times in this time,
	 * so an older one comes from a process that has ended.
	 */
	private static final long MAX_ANNOUNCEMENT_AGE_MILLIS = 1000;

	/**
	 * How long a leaving instance keeps ranges that no other instance can take, so that
	 * they are still served when the next instance of its service starts. Its backend
	 * server accepts new work for three seconds after it started to drain.
	 */
	private static final long SUCCESSOR_WAIT_MILLIS = 2500;

	private SortedMap<InstanceId, Announcement> announcements = TreeMap.empty();

	private SortedMap<HeldRange, List<CrashMark>> released = TreeMap.empty();

	private List<PlannedMove> moves = List.of();

	private Optional<Set<InstanceId>> drained = Optional.empty();

	private SortedMap<HeldRange, RangeLoad> loads = TreeMap.empty();

	private SortedMap<HeldRange, Long> movedAt = TreeMap.empty();

	private SortedMap<MemberKey, Long> leavingSince = TreeMap.empty();

	private WarmUp warmUp = new WarmUp();

	private long epochStartedAt;

	PrimaryState copy() {
		PrimaryState copy = new PrimaryState();
		copy.announcements = this.announcements;
		copy.released = this.released;
		copy.moves = this.moves;
		copy.drained = this.drained;
		copy.loads = this.loads;
		copy.movedAt = this.movedAt;
		copy.leavingSince = this.leavingSince;
		copy.warmUp = this.warmUp.copy();
		copy.epochStartedAt = this.epochStartedAt;
		return copy;
	}

	List<Object> state() {
		return List.of(this.announcements, this.released, this.moves, this.drained);
	}

	/**
	 * Resets the state for a new epoch. Members that were serving before count as warm.
	 * @param row the row
	 * @param now current time, milliseconds
	 */
	void startEpoch(CellRow row, long now) {
		this.released = TreeMap.empty();
		this.moves = List.of();
		this.drained = Optional.empty();
		this.loads = TreeMap.empty();
		this.movedAt = TreeMap.empty();
		this.leavingSince = TreeMap.empty();
		this.epochStartedAt = now;
	}

	void adopt(VersionedRow known, long now) {
		SortedSet<HeldRange> owned = TreeSet.ofAll(known.row()
			.ranges()
			.stream()
			.filter((range) -> range.owner().isPresent())
			.map(RangeState::held)
			.toList());
		this.released = this.released.filterKeys(owned::contains);
		this.loads = this.loads.filterKeys(owned::contains);
		this.movedAt = this.movedAt.filterKeys(owned::contains);
		owned.filter((held) -> held.fence().value() == known.version())
			.forEach((held) -> this.movedAt = this.movedAt.put(held, now));
		this.warmUp.adopt(known.row(), now);
		recordLeavingMembers(known.row(), now);
		if (this.drained.filter(known.row().drained()::equals).isPresent()) {
			this.drained = Optional.empty();
		}
	}

	private void recordLeavingMembers(CellRow row, long now) {
		SortedSet<MemberKey> leavingMembers = TreeSet.ofAll(row.members()
			.stream()
			.filter((member) -> member.phase() != MemberPhase.ACTIVE)
			.map(MemberInfo::key)
			.toList());
		this.leavingSince = this.leavingSince.filterKeys(leavingMembers::contains);
		leavingMembers.reject(this.leavingSince::containsKey)
			.forEach((key) -> this.leavingSince = this.leavingSince.put(key, now));
	}

	void onAnnouncement(MemberInfo member, long now) {
		this.announcements = this.announcements.put(member.instance(), new Announcement(member, now));
	}

	void removeAnnouncements(Set<MemberKey> lost) {
		this.announcements = this.announcements.filterValues((entry) -> !lost.contains(entry.member().key()));
	}

	void onReleased(InstanceId from, ControlMessage.Released message, CellRow row) {
		boolean sameProcess = row.has(new MemberKey(from, message.incarnation()));
		Set<HeldRange> owned = row.ownedBy(from).stream().map(RangeState::held).collect(Collectors.toSet());
		message.ranges()
			.stream()
			.filter((range) -> sameProcess && owned.contains(range.held()))
			.forEach((range) -> this.released = this.released.put(range.held(), range.marks()));
	}

	void onLoads(ControlMessage.Loads message, CellRow row) {
		for (RangeLoad load : message.loads()) {
			row.rangesOf(message.service())
				.stream()
				.filter((range) -> range.range().equals(load.range()))
				.forEach((range) -> this.loads = this.loads.put(range.held(), load));
		}
	}

	List<PlannedMove> moves() {
		return this.moves;
	}

	void setMoves(List<PlannedMove> planned) {
		this.moves = planned;
	}

	boolean isReleased(HeldRange held) {
		return this.released.containsKey(held);
	}

	Set<InstanceId> drained(CellRow row) {
		return this.drained.orElse(row.drained());
	}

	void setDrained(Set<InstanceId> instances) {
		this.drained = Optional.of(Set.copyOf(instances));
	}

	/**
	 * Returns the input of planning.
	 * @param known the newest known row
	 * @param manager the lease manager of this process
	 * @param placement the placement policy and its settings
	 * @param balance whether to ask the policy even if every range has an owner
	 * @param now current time, milliseconds
	 * @return the input
	 */
	PlanFacts facts(VersionedRow known, LeaseManager manager, Placement placement, boolean balance, long now) {
		Set<MemberKey> lost = manager.lostMembers(known.row(), now);
		// By incarnation: a restarted process is not suspect because its previous
		// incarnation was silent.
		Set<MemberKey> suspects = manager.revocations().keySet().toJavaSet();
		List<MemberInfo> recentlyAnnounced = this.announcements.values()
			.filter((entry) -> now - entry.receivedAt() <= MAX_ANNOUNCEMENT_AGE_MILLIS
					&& !lost.contains(entry.member().key()))
			.map(Announcement::member)
			.toJavaList();
		Map<HeldRange, List<CrashMark>> releasedRanges = this.released.toJavaMap();
		return new PlanFacts(known, now, lost, suspects, recentlyAnnounced, releasedRanges, this.moves,
				manager.closedPairs(known.row(), now), drained(known.row()), balance, placement, this::load,
				(member) -> this.warmUp.share(member, now),
				(held) -> this.movedAt.get(held).getOrElse(this.epochStartedAt),
				(member) -> awaitsSuccessor(member, now));
	}

	private RangeLoad load(HeldRange held) {
		return this.loads.get(held).getOrElse(() -> new RangeLoad(held.range(), 0, Optional.empty()));
	}

	private boolean awaitsSuccessor(MemberInfo member, long now) {
		return this.leavingSince.get(member.key()).exists((startedAt) -> now - startedAt < SUCCESSOR_WAIT_MILLIS);
	}

	/**
	 * An announcement.
	 *
	 * @param member the announced information
	 * @param receivedAt when it arrived
	 */
	private record Announcement(MemberInfo member, long receivedAt) {

	}

	/**
	 * The placement policy and its settings.
	 *
	 * @param policy the placement policy
	 * @param weights the operators' weights
	 * @param initialRanges initial number of ranges of a service
	 */
	record Placement(PlacementPolicy policy, PlacementWeights weights, int initialRanges) {

		Placement withWeights(PlacementWeights newWeights) {
			return new Placement(this.policy, newWeights, this.initialRanges);
		}

	}

}
