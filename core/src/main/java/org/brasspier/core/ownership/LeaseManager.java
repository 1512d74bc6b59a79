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

/**
 * The lease manager's state: which members it renews, which it revokes or has promised
 * not to renew, and how long it may do so itself. Any process may be lost at any moment.
 * Both managers renew every member, so the loss of one interrupts no member, and a range
 * leaves a silent member only when no manager can still be renewing that member. Not
 * thread-safe; cheap to copy, since its fields are numbers and persistent collections.
 */
final class LeaseManager {

	private final MemberKey self;

	private final Timing timing;

	private final EnabledGuards guards;

	private Optional<ManagerPair> pair = Optional.empty();

	private long since;

	private long peerBeatSentAt = Long.MIN_VALUE;

	private long minVersion;

	private Optional<MemberKey> replaced = Optional.empty();

	private SortedMap<InstanceId, MemberRecord> memberRecords = TreeMap.empty();

	private SortedMap<MemberKey, Revocation> revoking = TreeMap.empty();

	private SortedSet<MemberKey> promised = TreeSet.empty();

	private final ManagerAuthority authority;

	private final FormerPairs formerPairs;

	LeaseManager(MemberKey self, Timing timing, EnabledGuards guards) {
		this.self = self;
		this.timing = timing;
		this.guards = guards;
		this.authority = new ManagerAuthority(timing, guards);
		this.formerPairs = new FormerPairs(self, timing);
	}

	LeaseManager copy() {
		LeaseManager copy = new LeaseManager(this.self, this.timing, this.guards);
		copy.pair = this.pair;
		copy.since = this.since;
		copy.authority.copyFrom(this.authority);
		copy.peerBeatSentAt = this.peerBeatSentAt;
		copy.minVersion = this.minVersion;
		copy.replaced = this.replaced;
		copy.memberRecords = this.memberRecords;
		copy.revoking = this.revoking;
		copy.promised = this.promised;
		copy.formerPairs.copyFrom(this.formerPairs);
		return copy;
	}

	List<Object> state() {
		return List.of(this.pair, this.since, this.authority.state(), this.peerBeatSentAt, this.minVersion,
				this.replaced, this.memberRecords, this.revoking, this.promised, this.formerPairs.state());
	}

	/**
	 * Applies the newest row, which determines whether this process manages leases and
	 * with which peer.
	 * @param known the row
	 * @param now current time, milliseconds
	 * @return whether the epoch changed
	 */
	boolean adopt(VersionedRow known, long now) {
		this.minVersion = Math.max(this.minVersion, known.version());
		Optional<ManagerPair> next = known.row().managers().filter((managers) -> managers.includes(this.self));
		if (next.equals(this.pair)) {
			next.ifPresent((managers) -> addMemberRecords(known.row(), now));
			return false;
		}
		Optional<ManagerPair> before = this.pair;
		this.pair = next;
		this.since = now;
		this.authority.startEpoch(next.isPresent(), now);
		this.peerBeatSentAt = Long.MIN_VALUE;
		this.revoking = TreeMap.empty();
		this.promised = TreeSet.empty();
		this.formerPairs.reset();
		// Only this process renewed the replaced peer's lease as a member.
		this.replaced = before.flatMap((old) -> old.peerOf(this.self))
			.filter((peer) -> next
				.filter((managers) -> !managers.includes(peer) && managers.epoch() == before.get().epoch() + 1
						&& managers.primary().equals(this.self))
				.isPresent());
		next.ifPresent((managers) -> addMemberRecords(known.row(), now));
		return true;
	}

	private void addMemberRecords(CellRow row, long now) {
		row.members()
			.forEach((member) -> this.memberRecords = this.memberRecords.put(member.instance(),
					this.memberRecords.get(member.instance())
						.filter((watch) -> watch.incarnation() == member.key().incarnation())
						.getOrElse(() -> MemberRecord.initial(member.key().incarnation(), now))));
	}

	boolean isActive() {
		return this.pair.isPresent();
	}

	boolean isPrimary() {
		return this.pair.filter((managers) -> managers.primary().equals(this.self)).isPresent();
	}

	boolean isLone() {
		return this.pair.filter((managers) -> managers.secondary().isEmpty()).isPresent();
	}

	long epoch() {
		return this.pair.map(ManagerPair::epoch).orElse(0L);
	}

	Optional<MemberKey> peer() {
		return this.pair.flatMap((managers) -> managers.peerOf(this.self));
	}

	ManagerAuthority authority() {
		return this.authority;
	}

	Optional<MemberRecord> memberRecord(MemberKey key) {
		return this.memberRecords.get(key.instance())
			.filter((watch) -> watch.incarnation() == key.incarnation())
			.toJavaOptional();
	}

	/**
	 * Records that this process's own epoch was seen in the table.
	 * @param sentAt when the call that showed it was sent
	 */
	void onEpochSeen(long sentAt) {
		this.authority.onEpochSeen(sentAt, isLone());
	}

	/**
	 * Answers a heartbeat. Members whose ranges may move soon are not renewed, and no
	 * renewal lasts longer than this manager's own authority is confirmed.
	 * @param key the sender
	 * @param heartbeat the heartbeat
	 * @param row the newest known row
	 * @param writing whether a write is in progress that may move the sender's ranges
	 * @param now current time, milliseconds
	 * @return duration of the lease from the sending, 0 if it is not renewed
	 */
	long renew(MemberKey key, ControlMessage.Heartbeat heartbeat, CellRow row, boolean writing, long now) {
		recordHeartbeat(key, heartbeat, row, writing, now);
		boolean refused = this.revoking.containsKey(key) || this.promised.contains(key)
				|| (key.equals(this.self) && this.guards.on(Guard.MANAGER_RENEWED_BY_PEER)) || !row.has(key)
				|| heartbeat.epoch() > epoch() || !isActive();
		long span = this.authority.maxRenewalMillis(now);
		if (refused || span <= 0) {
			return 0;
		}
		this.memberRecords = this.memberRecords
			.computeIfPresent(key.instance(), (instance, watch) -> watch.withRenewal(now + drift(span)))
			._2();
		return span;
	}

	private void recordHeartbeat(MemberKey key, ControlMessage.Heartbeat heartbeat, CellRow row, boolean writing,
			long now) {
		MemberRecord watch = memberRecord(key).orElse(MemberRecord.initial(key.incarnation(), now));
		if (memberRecord(key).isPresent() || row.has(key)) {
			long bound = now + drift(heartbeat.leaseLeft());
			this.memberRecords = this.memberRecords.put(key.instance(),
					watch.withHeartbeat(now, heartbeat.epoch(), bound));
		}
		if (!writing) {
			this.revoking = this.revoking.remove(key);
		}
		this.formerPairs.onHeartbeat(key, heartbeat.epoch(), row, now);
	}

	private long drift(long span) {
		return (this.guards.on(Guard.DRIFT_ALLOWED)) ? this.timing.withDrift(span) : span;
	}

	/**
	 * Answers the peer's beat and keeps the promises: a secondary stops renewing members
	 * that the primary asks to revoke if it finds them silent too.
	 * @param from the peer
	 * @param beat the beat
	 * @param now current time, milliseconds
	 * @return the answer, empty if the sender is not the peer in this epoch
	 */
	Optional<ControlMessage.BeatAnswer> answerBeat(MemberKey from, ControlMessage.Beat beat, long now) {
		if (!peer().filter(from::equals).isPresent() || beat.epoch() != epoch()) {
			return Optional.empty();
		}
		this.authority.onPeerHeard(now);
		if (beat.sentAt() > this.peerBeatSentAt) {
			this.peerBeatSentAt = beat.sentAt();
			this.minVersion = Math.max(this.minVersion, beat.version());
			this.promised = TreeSet.ofAll(beat.revoking())
				.filter((member) -> this.promised.contains(member) || isSilent(member, now) || neverHeard(member));
		}
		List<ControlMessage.Promised> promises = this.promised.toStream()
			.map((member) -> new ControlMessage.Promised(member, leaseLeft(member, now)))
			.toJavaList();
		return Optional.of(new ControlMessage.BeatAnswer(from.incarnation(), beat.sentAt(), epoch(),
				this.authority.isConfirming(now), this.authority.tableAge(now), promises));
	}

	// Negative after the lease has expired: the guard time counts from the expiry, and if
	// each answer reported zero, it would never end.
	private long leaseLeft(MemberKey member, long now) {
		return Math.max(memberRecord(member).map(MemberRecord::leaseBound).orElse(this.since), this.since) - now;
	}

	private boolean neverHeard(MemberKey member) {
		return memberRecord(member).filter((watch) -> watch.ackedEpoch() > 0).isEmpty();
	}

	boolean isSilent(MemberKey member, long now) {
		return memberRecord(member).filter((watch) -> now - watch.lastHeartbeatAt() <= this.timing.memberSilence())
			.isEmpty();
	}

	/**
	 * Handles the peer's answer to a beat.
	 * @param from the peer
	 * @param answer the answer
	 * @param now current time, milliseconds
	 */
	void onBeatAnswer(MemberKey from, ControlMessage.BeatAnswer answer, long now) {
		if (!peer().filter(from::equals).isPresent() || answer.epoch() != epoch()) {
			return;
		}
		this.authority.onPeerHeard(now);
		this.authority.onBeatAnswer(answer);
		for (ControlMessage.Promised promise : answer.promises()) {
			this.revoking = this.revoking
				.computeIfPresent(promise.member(),
						(key, revocation) -> (answer.sentAt() >= revocation.since()
								|| !this.guards.on(Guard.PROMISE_IS_FRESH))
										? revocation.promised(now + promisedSpan(promise.leaseLeft())) : revocation)
				._2();
		}
	}

	// A lease that expired some time ago by the peer's clock expired a little later by
	// this clock.
	private long promisedSpan(long leaseLeft) {
		return (leaseLeft < 0) ? 2 * leaseLeft + drift(-leaseLeft) : drift(leaseLeft);
	}

	/**
	 * Returns the beat to send to the peer.
	 * @param version the version of the row that this process knows
	 * @param now current time, milliseconds
	 * @return the beat
	 */
	ControlMessage.Beat beat(long version, long now) {
		return new ControlMessage.Beat(this.self.incarnation(), now, epoch(), version,
				this.revoking.keySet().toJavaList());
	}

	/**
	 * Starts to revoke the members that have been silent for too long. A single lost
	 * heartbeat must not cost a member its ranges, so the limit is more than two
	 * intervals; a longer limit would delay the recovery, which must complete within one
	 * second.
	 * @param row the newest known row
	 * @param now current time, milliseconds
	 * @return the members whose revocation has just started
	 */
	List<MemberKey> revokeSilent(CellRow row, long now) {
		List<MemberKey> begun = row.members()
			.stream()
			.map(MemberInfo::key)
			.filter((key) -> !key.equals(this.self) && !peer().filter(key::equals).isPresent())
			.filter((key) -> !this.revoking.containsKey(key) && isSilent(key, now))
			.toList();
		begun.forEach((key) -> this.revoking = this.revoking.put(key, new Revocation(now, Optional.empty())));
		return begun;
	}

	/**
	 * Returns the members whose ranges may be reassigned now: no manager renews them any
	 * longer, and their leases have expired by everyone's clock.
	 * @param row the newest known row
	 * @param now current time, milliseconds
	 * @return the members
	 */
	Set<MemberKey> lostMembers(CellRow row, long now) {
		return row.members()
			.stream()
			.filter((member) -> this.revoking.containsKey(member.key()) && hasExpired(member, row, now))
			.map(MemberInfo::key)
			.collect(Collectors.toUnmodifiableSet());
	}

	private boolean hasExpired(MemberInfo member, CellRow row, long now) {
		long guard = this.timing.withDrift(row.guardMillis(member));
		Revocation revocation = this.revoking.get(member.key()).get();
		boolean promiseKept = isLone() || !this.guards.on(Guard.PROMISE_OF_PEER)
				|| revocation.promiseUntil().filter((until) -> until + guard <= now).isPresent();
		boolean ownRunOut = !this.guards.on(Guard.RENEWALS_RUN_OUT)
				|| memberRecord(member.key()).filter((watch) -> watch.leaseBound() > now - guard).isEmpty();
		return promiseKept && ownRunOut && noOldRenewals(member.key(), row, now - guard);
	}

	// Whether no lease manager of an earlier epoch can still be renewing a member.
	private boolean noOldRenewals(MemberKey member, CellRow row, long now) {
		long acked = memberRecord(member).map(MemberRecord::ackedEpoch).orElse(0L);
		if (acked >= epoch() || !this.guards.on(Guard.OLD_AUTHORITY_ENDS)) {
			return true;
		}
		if (this.replaced.filter(member::equals).isPresent() && acked >= epoch() - 1) {
			return true;
		}
		boolean pairsClosed = row.unclosed().isEmpty() || !this.guards.on(Guard.OLD_PAIR_CLOSED);
		return pairsClosed && now >= this.since + drift(this.timing.authority());
	}

	FormerPairs formerPairs() {
		return this.formerPairs;
	}

	/**
	 * Returns the former pairs of the row that are known to have ended.
	 * @param row the newest known row
	 * @param now current time, milliseconds
	 * @return the pairs
	 */
	List<ManagerPair> closedPairs(CellRow row, long now) {
		return this.formerPairs.closed(row, this.since, now);
	}

	Map<InstanceId, Long> heardAt() {
		return (isActive()) ? this.memberRecords.mapValues(MemberRecord::lastHeartbeatAt).toJavaMap() : Map.of();
	}

	SortedMap<MemberKey, Revocation> revoking() {
		return this.revoking;
	}

	/**
	 * Returns the minimum version of the row that a member must know to get its lease
	 * back.
	 * @return the version
	 */
	long minVersion() {
		return this.minVersion;
	}

}
