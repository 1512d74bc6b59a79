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

	private long epochStartedAt;

	private long lastPeerBeatSentAt = Long.MIN_VALUE;

	private long minVersion;

	private Optional<MemberKey> replacedPeer = Optional.empty();

	private SortedMap<InstanceId, MemberRecord> memberRecords = TreeMap.empty();

	private SortedMap<MemberKey, Revocation> revocations = TreeMap.empty();

	private SortedSet<MemberKey> promisedMembers = TreeSet.empty();

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
		copy.epochStartedAt = this.epochStartedAt;
		copy.authority.copyFrom(this.authority);
		copy.lastPeerBeatSentAt = this.lastPeerBeatSentAt;
		copy.minVersion = this.minVersion;
		copy.replacedPeer = this.replacedPeer;
		copy.memberRecords = this.memberRecords;
		copy.revocations = this.revocations;
		copy.promisedMembers = this.promisedMembers;
		copy.formerPairs.copyFrom(this.formerPairs);
		return copy;
	}

	List<Object> state() {
		return List.of(this.pair, this.epochStartedAt, this.authority.state(), this.lastPeerBeatSentAt, this.minVersion,
				this.replacedPeer, this.memberRecords, this.revocations, this.promisedMembers,
				this.formerPairs.state());
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
		Optional<ManagerPair> previous = this.pair;
		this.pair = next;
		this.epochStartedAt = now;
		this.authority.startEpoch(next.isPresent(), now);
		this.lastPeerBeatSentAt = Long.MIN_VALUE;
		this.revocations = TreeMap.empty();
		this.promisedMembers = TreeSet.empty();
		this.formerPairs.reset();
		// Only this process renewed the replaced peer's lease as a member.
		this.replacedPeer = previous.flatMap((formerPair) -> formerPair.peerOf(this.self))
			.filter((peer) -> next
				.filter((managers) -> !managers.includes(peer) && managers.epoch() == previous.get().epoch() + 1
						&& managers.primary().equals(this.self))
				.isPresent());
		next.ifPresent((managers) -> addMemberRecords(known.row(), now));
		return true;
	}

	private void addMemberRecords(CellRow row, long now) {
		row.members()
			.forEach((member) -> this.memberRecords = this.memberRecords.put(member.instance(),
					this.memberRecords.get(member.instance())
						.filter((memberRecord) -> memberRecord.incarnation() == member.key().incarnation())
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
			.filter((memberRecord) -> memberRecord.incarnation() == key.incarnation())
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
	 * @param writePending whether a write is in progress that may move the sender's
	 * ranges
	 * @param now current time, milliseconds
	 * @return duration of the lease from the sending, 0 if it is not renewed
	 */
	long renew(MemberKey key, ControlMessage.Heartbeat heartbeat, CellRow row, boolean writePending, long now) {
		recordHeartbeat(key, heartbeat, row, writePending, now);
		boolean refused = this.revocations.containsKey(key) || this.promisedMembers.contains(key)
				|| (key.equals(this.self) && this.guards.isEnabled(Guard.MANAGER_RENEWED_BY_PEER)) || !row.has(key)
				|| heartbeat.epoch() > epoch() || !isActive();
		long duration = this.authority.maxRenewalMillis(now);
		if (refused || duration <= 0) {
			return 0;
		}
		this.memberRecords = this.memberRecords
			.computeIfPresent(key.instance(),
					(instance, memberRecord) -> memberRecord.withRenewal(now + withDrift(duration)))
			._2();
		return duration;
	}

	private void recordHeartbeat(MemberKey key, ControlMessage.Heartbeat heartbeat, CellRow row, boolean writePending,
			long now) {
		MemberRecord memberRecord = memberRecord(key).orElse(MemberRecord.initial(key.incarnation(), now));
		if (memberRecord(key).isPresent() || row.has(key)) {
			long latestLeaseEnd = now + withDrift(heartbeat.leaseLeft());
			this.memberRecords = this.memberRecords.put(key.instance(),
					memberRecord.withHeartbeat(now, heartbeat.epoch(), latestLeaseEnd));
		}
		if (!writePending) {
			this.revocations = this.revocations.remove(key);
		}
		this.formerPairs.onHeartbeat(key, heartbeat.epoch(), row, now);
	}

	private long withDrift(long span) {
		return (this.guards.isEnabled(Guard.DRIFT_ALLOWED)) ? this.timing.withDrift(span) : span;
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
		if (beat.sentAt() > this.lastPeerBeatSentAt) {
			this.lastPeerBeatSentAt = beat.sentAt();
			this.minVersion = Math.max(this.minVersion, beat.version());
			this.promisedMembers = TreeSet.ofAll(beat.revoking())
				.filter((member) -> this.promisedMembers.contains(member) || isSilent(member, now)
						|| wasNeverHeard(member));
		}
		List<ControlMessage.Promised> promises = this.promisedMembers.toStream()
			.map((member) -> new ControlMessage.Promised(member, leaseLeft(member, now)))
			.toJavaList();
		return Optional.of(new ControlMessage.BeatAnswer(from.incarnation(), beat.sentAt(), epoch(),
				this.authority.isConfirming(now), this.authority.tableAge(now), promises));
	}

	// Negative after the lease has expired: the guard time counts from the expiry, and if
	// each answer reported zero, it would never end.
	private long leaseLeft(MemberKey member, long now) {
		return Math.max(memberRecord(member).map(MemberRecord::latestLeaseEnd).orElse(this.epochStartedAt),
				this.epochStartedAt) - now;
	}

	private boolean wasNeverHeard(MemberKey member) {
		return memberRecord(member).filter((memberRecord) -> memberRecord.ackedEpoch() > 0).isEmpty();
	}

	boolean isSilent(MemberKey member, long now) {
		return memberRecord(member)
			.filter((memberRecord) -> now - memberRecord.lastHeartbeatAt() <= this.timing.memberSilence())
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
			this.revocations = this.revocations.computeIfPresent(promise.member(),
					(key, revocation) -> (answer.sentAt() >= revocation.since()
							|| !this.guards.isEnabled(Guard.PROMISE_IS_FRESH))
									? revocation.withPromise(now + leaseLeftWithDrift(promise.leaseLeft()))
									: revocation)
				._2();
		}
	}

	// A lease that expired some time ago by the peer's clock may have expired a little
	// later by this clock.
	private long leaseLeftWithDrift(long leaseLeft) {
		return (leaseLeft < 0) ? 2 * leaseLeft + withDrift(-leaseLeft) : withDrift(leaseLeft);
	}

	/**
	 * Returns the beat to send to the peer.
	 * @param version the version of the row that this process knows
	 * @param now current time, milliseconds
	 * @return the beat
	 */
	ControlMessage.Beat beat(long version, long now) {
		return new ControlMessage.Beat(this.self.incarnation(), now, epoch(), version,
				this.revocations.keySet().toJavaList());
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
		List<MemberKey> newlySilent = row.members()
			.stream()
			.map(MemberInfo::key)
			.filter((key) -> !key.equals(this.self) && !peer().filter(key::equals).isPresent())
			.filter((key) -> !this.revocations.containsKey(key) && isSilent(key, now))
			.toList();
		newlySilent
			.forEach((key) -> this.revocations = this.revocations.put(key, new Revocation(now, Optional.empty())));
		return newlySilent;
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
			.filter((member) -> this.revocations.containsKey(member.key()) && hasExpired(member, row, now))
			.map(MemberInfo::key)
			.collect(Collectors.toUnmodifiableSet());
	}

	private boolean hasExpired(MemberInfo member, CellRow row, long now) {
		long guardMillis = this.timing.withDrift(row.guardMillis(member));
		Revocation revocation = this.revocations.get(member.key()).get();
		boolean peerPromised = isLone() || !this.guards.isEnabled(Guard.PROMISE_OF_PEER)
				|| revocation.promiseUntil().filter((until) -> until + guardMillis <= now).isPresent();
		boolean ownRenewalsExpired = !this.guards.isEnabled(Guard.RENEWALS_RUN_OUT) || memberRecord(member.key())
			.filter((memberRecord) -> memberRecord.latestLeaseEnd() > now - guardMillis)
			.isEmpty();
		return peerPromised && ownRenewalsExpired && haveEarlierRenewalsEnded(member.key(), row, now - guardMillis);
	}

	// Returns whether no lease manager of an earlier epoch can still be renewing a
	// member.
	private boolean haveEarlierRenewalsEnded(MemberKey member, CellRow row, long now) {
		long ackedEpoch = memberRecord(member).map(MemberRecord::ackedEpoch).orElse(0L);
		if (ackedEpoch >= epoch() || !this.guards.isEnabled(Guard.OLD_AUTHORITY_ENDS)) {
			return true;
		}
		if (this.replacedPeer.filter(member::equals).isPresent() && ackedEpoch >= epoch() - 1) {
			return true;
		}
		boolean pairsClosed = row.unclosed().isEmpty() || !this.guards.isEnabled(Guard.OLD_PAIR_CLOSED);
		return pairsClosed && now >= this.epochStartedAt + withDrift(this.timing.authority());
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
		return this.formerPairs.closed(row, this.epochStartedAt, now);
	}

	Map<InstanceId, Long> lastHeartbeats() {
		return (isActive()) ? this.memberRecords.mapValues(MemberRecord::lastHeartbeatAt).toJavaMap() : Map.of();
	}

	SortedMap<MemberKey, Revocation> revocations() {
		return this.revocations;
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
