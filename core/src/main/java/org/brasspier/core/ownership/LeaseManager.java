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
 * The lease manager's side: whom this process renews, whom it revokes or promised not to
 * renew, and how long it may do so itself. Made for the loss of any process at any
 * moment: the two managers renew every member, so the loss of one interrupts nobody, and
 * a range leaves a silent member only when nobody can be renewing it any more. Not
 * thread-safe; copied cheaply, since its fields are numbers and persistent collections.
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

	private SortedMap<InstanceId, MemberRecord> watches = TreeMap.empty();

	private SortedMap<MemberKey, Revocation> revoking = TreeMap.empty();

	private SortedSet<MemberKey> promised = TreeSet.empty();

	private final ManagerAuthority authority;

	private final FormerPairs oldPairs;

	LeaseManager(MemberKey self, Timing timing, EnabledGuards guards) {
		this.self = self;
		this.timing = timing;
		this.guards = guards;
		this.authority = new ManagerAuthority(timing, guards);
		this.oldPairs = new FormerPairs(self, timing);
	}

	LeaseManager copy() {
		LeaseManager copy = new LeaseManager(this.self, this.timing, this.guards);
		copy.pair = this.pair;
		copy.since = this.since;
		copy.authority.take(this.authority);
		copy.peerBeatSentAt = this.peerBeatSentAt;
		copy.minVersion = this.minVersion;
		copy.replaced = this.replaced;
		copy.watches = this.watches;
		copy.revoking = this.revoking;
		copy.promised = this.promised;
		copy.oldPairs.take(this.oldPairs);
		return copy;
	}

	List<Object> state() {
		return List.of(this.pair, this.since, this.authority.state(), this.peerBeatSentAt, this.minVersion,
				this.replaced, this.watches, this.revoking, this.promised, this.oldPairs.state());
	}

	/**
	 * Takes the newest row: whether this process manages leases, and with whom.
	 * @param known the row
	 * @param now the time
	 * @return whether the epoch changed
	 */
	boolean adopt(VersionedRow known, long now) {
		this.minVersion = Math.max(this.minVersion, known.version());
		Optional<ManagerPair> next = known.row().managers().filter((managers) -> managers.includes(this.self));
		if (next.equals(this.pair)) {
			next.ifPresent((managers) -> watchAll(known.row(), now));
			return false;
		}
		Optional<ManagerPair> before = this.pair;
		this.pair = next;
		this.since = now;
		this.authority.begin(next.isPresent(), now);
		this.peerBeatSentAt = Long.MIN_VALUE;
		this.revoking = TreeMap.empty();
		this.promised = TreeSet.empty();
		this.oldPairs.begin();
		// The peer that this process replaced was renewed, as a member, by nobody else.
		this.replaced = before.flatMap((old) -> old.peerOf(this.self))
			.filter((peer) -> next
				.filter((managers) -> !managers.includes(peer) && managers.epoch() == before.get().epoch() + 1
						&& managers.primary().equals(this.self))
				.isPresent());
		next.ifPresent((managers) -> watchAll(known.row(), now));
		return true;
	}

	private void watchAll(CellRow row, long now) {
		row.members()
			.forEach((member) -> this.watches = this.watches.put(member.instance(),
					this.watches.get(member.instance())
						.filter((watch) -> watch.incarnation() == member.key().incarnation())
						.getOrElse(() -> MemberRecord.unheard(member.key().incarnation(), now))));
	}

	boolean active() {
		return this.pair.isPresent();
	}

	boolean primary() {
		return this.pair.filter((managers) -> managers.primary().equals(this.self)).isPresent();
	}

	boolean lone() {
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

	Optional<MemberRecord> watch(MemberKey key) {
		return this.watches.get(key.instance())
			.filter((watch) -> watch.incarnation() == key.incarnation())
			.toJavaOptional();
	}

	/**
	 * Notes that this process's own epoch was seen in the table.
	 * @param sentAt when the call left that showed it
	 */
	void tableShows(long sentAt) {
		this.authority.tableShows(sentAt, lone());
	}

	/**
	 * Answers a heartbeat. Whoever may be moved soon is not renewed, nor is anybody
	 * beyond the time for which this manager's own authority is confirmed.
	 * @param key who sent it
	 * @param heartbeat the heartbeat
	 * @param row the newest known row
	 * @param writing whether a write is under way that may move the sender's ranges
	 * @param now the time
	 * @return how long the lease runs from the sending, 0 for not at all
	 */
	long renew(MemberKey key, ControlMessage.Heartbeat heartbeat, CellRow row, boolean writing, long now) {
		hear(key, heartbeat, row, writing, now);
		boolean refused = this.revoking.containsKey(key) || this.promised.contains(key)
				|| (key.equals(this.self) && this.guards.on(Guard.MANAGER_RENEWED_BY_PEER)) || !row.has(key)
				|| heartbeat.epoch() > epoch() || !active();
		long span = this.authority.span(now);
		if (refused || span <= 0) {
			return 0;
		}
		this.watches = this.watches
			.computeIfPresent(key.instance(), (instance, watch) -> watch.renewed(now + drift(span)))
			._2();
		return span;
	}

	private void hear(MemberKey key, ControlMessage.Heartbeat heartbeat, CellRow row, boolean writing, long now) {
		MemberRecord watch = watch(key).orElse(MemberRecord.unheard(key.incarnation(), now));
		if (watch(key).isPresent() || row.has(key)) {
			long bound = now + drift(heartbeat.leaseLeft());
			this.watches = this.watches.put(key.instance(), watch.heard(now, heartbeat.epoch(), bound));
		}
		if (!writing) {
			this.revoking = this.revoking.remove(key);
		}
		this.oldPairs.heard(key, heartbeat.epoch(), row, now);
	}

	private long drift(long span) {
		return (this.guards.on(Guard.DRIFT_ALLOWED)) ? this.timing.withDrift(span) : span;
	}

	/**
	 * Answers the peer's beat, and keeps promises: a secondary stops renewing whom the
	 * primary wants to revoke, if it too finds it silent.
	 * @param from the peer
	 * @param beat the beat
	 * @param now the time
	 * @return the answer, empty if the sender is no peer in this epoch
	 */
	Optional<ControlMessage.BeatAnswer> answer(MemberKey from, ControlMessage.Beat beat, long now) {
		if (!peer().filter(from::equals).isPresent() || beat.epoch() != epoch()) {
			return Optional.empty();
		}
		this.authority.peerHeard(now);
		if (beat.sentAt() > this.peerBeatSentAt) {
			this.peerBeatSentAt = beat.sentAt();
			this.minVersion = Math.max(this.minVersion, beat.version());
			this.promised = TreeSet.ofAll(beat.revoking())
				.filter((member) -> this.promised.contains(member) || silent(member, now) || neverHeard(member));
		}
		List<ControlMessage.Promised> promises = this.promised.toStream()
			.map((member) -> new ControlMessage.Promised(member, leaseLeft(member, now)))
			.toJavaList();
		return Optional.of(new ControlMessage.BeatAnswer(from.incarnation(), beat.sentAt(), epoch(),
				this.authority.confirms(now), this.authority.tableAge(now), promises));
	}

	// Negative once it has run out: a guard counts from then, and if each answer said
	// "just now", it would never be over.
	private long leaseLeft(MemberKey member, long now) {
		return Math.max(watch(member).map(MemberRecord::leaseBound).orElse(this.since), this.since) - now;
	}

	private boolean neverHeard(MemberKey member) {
		return watch(member).filter((watch) -> watch.ackedEpoch() > 0).isEmpty();
	}

	boolean silent(MemberKey member, long now) {
		return watch(member).filter((watch) -> now - watch.lastHeartbeatAt() <= this.timing.memberSilence()).isEmpty();
	}

	/**
	 * Takes the peer's answer to a beat.
	 * @param from the peer
	 * @param answer the answer
	 * @param now the time
	 */
	void confirmed(MemberKey from, ControlMessage.BeatAnswer answer, long now) {
		if (!peer().filter(from::equals).isPresent() || answer.epoch() != epoch()) {
			return;
		}
		this.authority.peerHeard(now);
		this.authority.answered(answer);
		for (ControlMessage.Promised promise : answer.promises()) {
			this.revoking = this.revoking
				.computeIfPresent(promise.member(),
						(key, revocation) -> (answer.sentAt() >= revocation.since()
								|| !this.guards.on(Guard.PROMISE_IS_FRESH))
										? revocation.promised(now + promisedSpan(promise.leaseLeft())) : revocation)
				._2();
		}
	}

	// What ran out a while ago by the peer's clock did so a little later by this one.
	private long promisedSpan(long leaseLeft) {
		return (leaseLeft < 0) ? 2 * leaseLeft + drift(-leaseLeft) : drift(leaseLeft);
	}

	/**
	 * The beat that is due to the peer.
	 * @param version the version of the row this process knows
	 * @param now the time
	 * @return the beat
	 */
	ControlMessage.Beat beat(long version, long now) {
		return new ControlMessage.Beat(this.self.incarnation(), now, epoch(), version,
				this.revoking.keySet().toJavaList());
	}

	/**
	 * Begins to revoke the members that have been silent for too long. A heartbeat lost
	 * now and then must not cost anybody its ranges, hence the silence is more than two
	 * of them; longer would take from the second in which ranges are served again.
	 * @param row the newest known row
	 * @param now the time
	 * @return those whose revocation has just begun
	 */
	List<MemberKey> revokeSilent(CellRow row, long now) {
		List<MemberKey> begun = row.members()
			.stream()
			.map(MemberInfo::key)
			.filter((key) -> !key.equals(this.self) && !peer().filter(key::equals).isPresent())
			.filter((key) -> !this.revoking.containsKey(key) && silent(key, now))
			.toList();
		begun.forEach((key) -> this.revoking = this.revoking.put(key, new Revocation(now, Optional.empty())));
		return begun;
	}

	/**
	 * Whose ranges may be given to others now: nobody renews it any more, and its lease
	 * has run out by everybody's account.
	 * @param row the newest known row
	 * @param now the time
	 * @return the members
	 */
	Set<MemberKey> lost(CellRow row, long now) {
		return row.members()
			.stream()
			.filter((member) -> this.revoking.containsKey(member.key()) && runOut(member, row, now))
			.map(MemberInfo::key)
			.collect(Collectors.toUnmodifiableSet());
	}

	private boolean runOut(MemberInfo member, CellRow row, long now) {
		long guard = this.timing.withDrift(row.guardMillis(member));
		Revocation revocation = this.revoking.get(member.key()).get();
		boolean promiseKept = lone() || !this.guards.on(Guard.PROMISE_OF_PEER)
				|| revocation.promiseUntil().filter((until) -> until + guard <= now).isPresent();
		boolean ownRunOut = !this.guards.on(Guard.RENEWALS_RUN_OUT)
				|| watch(member.key()).filter((watch) -> watch.leaseBound() > now - guard).isEmpty();
		return promiseKept && ownRunOut && noOldRenewals(member.key(), row, now - guard);
	}

	// Whether no lease manager of an earlier epoch can still be renewing a member.
	private boolean noOldRenewals(MemberKey member, CellRow row, long now) {
		long acked = watch(member).map(MemberRecord::ackedEpoch).orElse(0L);
		if (acked >= epoch() || !this.guards.on(Guard.OLD_AUTHORITY_ENDS)) {
			return true;
		}
		if (this.replaced.filter(member::equals).isPresent() && acked >= epoch() - 1) {
			return true;
		}
		boolean pairsClosed = row.unclosed().isEmpty() || !this.guards.on(Guard.OLD_PAIR_CLOSED);
		return pairsClosed && now >= this.since + drift(this.timing.authority());
	}

	FormerPairs oldPairs() {
		return this.oldPairs;
	}

	/**
	 * The pairs of the row that are known to have ended.
	 * @param row the newest known row
	 * @param now the time
	 * @return the pairs
	 */
	List<ManagerPair> closed(CellRow row, long now) {
		return this.oldPairs.closed(row, this.since, now);
	}

	Map<InstanceId, Long> heardAt() {
		return (active()) ? this.watches.mapValues(MemberRecord::lastHeartbeatAt).toJavaMap() : Map.of();
	}

	SortedMap<MemberKey, Revocation> revoking() {
		return this.revoking;
	}

	/**
	 * A version of the row that whoever gets its lease back must know at least.
	 * @return the version
	 */
	long minVersion() {
		return this.minVersion;
	}

}
