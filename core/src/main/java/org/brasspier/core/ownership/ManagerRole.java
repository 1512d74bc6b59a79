package org.brasspier.core.ownership;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.InstanceId;
import org.brasspier.core.event.EventKind;

/**
 * The work of a process as a lease manager: renews leases, monitors the other manager,
 * and as the primary writes the row. Not thread-safe.
 */
final class ManagerRole {

	private static final long EPOCH_TRY_MILLIS = 500;

	private static final long PUSH_MILLIS = 100;

	private static final long MAX_READ_AGE_MILLIS = 1000;

	private final ProcessParts parts;

	private final RowHandler rows;

	private final MemberRole member;

	ManagerRole(ProcessParts parts, RowHandler rows, MemberRole member) {
		this.parts = parts;
		this.rows = rows;
		this.member = member;
	}

	private ManagerChoice choice() {
		return new ManagerChoice(this.parts.me.key(), this.parts.timing, this.parts.manager);
	}

	void managerWork(long now) {
		CellRow row = this.parts.lease.known().row();
		if (this.parts.manager.peer().isPresent() && this.parts.timers.beatDue(now, beatEvery())) {
			beatWithHeartbeat(now);
		}
		// A manager that has stopped confirming, and whose write then failed, does not
		// confirm again in this epoch, even if the peer is heard again: only a new epoch
		// helps.
		boolean stopped = this.parts.manager.peer().isPresent() && this.parts.manager.authority().hasStopped();
		if (stopped || choice().peerSilent(row, now)) {
			replacePeer(row, now);
			return;
		}
		this.parts.peerMissedSince = Optional.empty();
		if (this.parts.manager.isPrimary()) {
			primaryWork(row, now);
		}
		else if (row.challenger().isPresent() && this.parts.access.isIdle(now)) {
			this.rows.propose(row.challengedBy(Optional.empty()), now);
		}
	}

	// The secondary sends its beat together with its answer to the primary's beat. Only
	// if no beat arrives does it send one itself, at one and a half times the interval,
	// so that the two managers do not send at the same moment and answer in separate TCP
	// segments.
	private long beatEvery() {
		long beat = this.parts.timing.beat();
		return (this.parts.manager.isPrimary()) ? beat : beat + beat / 2;
	}

	// Managers are also members of each other. A heartbeat that would be due soon goes
	// into the same TCP segment as the beat, since the segment's headers are larger than
	// a heartbeat.
	private void beatWithHeartbeat(long now) {
		this.parts.beat(now);
		this.member.heartbeatIfDue(this.parts.lease.known().row(), this.parts.timing.beat() / 2, now);
	}

	// Prevents a cell from stopping for the rest of a table outage because its managers
	// did not hear each other for a moment, for example on a busy machine. A manager that
	// stops confirming does so for the whole epoch, and without the table there is no new
	// epoch. So the table must first have answered a read that was sent after the peer
	// was missed. A peer that is heard again before then is confirmed as before; a lost
	// one is replaced one round trip later.
	void replacePeer(CellRow row, long now) {
		if (!this.parts.manager.authority().hasStopped()) {
			if (this.parts.peerMissedSince.isEmpty()) {
				this.parts.peerMissedSince = Optional.of(now);
				this.parts.out.recordEvent(EventKind.MANAGER_SUSPECTED,
						this.parts.manager.peer().orElseThrow().instance(), "epoch " + this.parts.manager.epoch());
			}
			if (!this.parts.access.hasAnsweredReadSince(this.parts.peerMissedSince.get())) {
				this.parts.access.read(now).ifPresent(this.parts.out::add);
				return;
			}
			this.parts.manager.authority().stopConfirming();
		}
		if (this.parts.access.isIdle(now)) {
			this.rows.propose(row.nextEpoch(this.parts.me.key(), choice().candidate(row, now).map(MemberInfo::key),
					row.unclosed()), now);
		}
	}

	void primaryWork(CellRow row, long now) {
		List<MemberKey> silent = this.parts.manager.revokeSilent(row, now);
		if (!silent.isEmpty()) {
			silent.forEach((key) -> this.parts.out.recordEvent(EventKind.MEMBER_SUSPECTED, key.instance(), "silent"));
			this.parts.manager.peer().ifPresent((peer) -> this.parts.beat(now));
		}
		if (!this.parts.access.isIdle(now)) {
			return;
		}
		Optional<CellRow> epoch = epochChange(row, now);
		if (epoch.isPresent()) {
			this.parts.manager.authority().stopConfirming();
			this.rows.propose(epoch.get(), now);
			return;
		}
		plan(now);
		requestReleases(now);
	}

	// A planned change of managers: this one leaves, the other one leaves, or there is no
	// other one yet.
	Optional<CellRow> epochChange(CellRow row, long now) {
		Optional<MemberInfo> peer = this.parts.manager.peer().flatMap((key) -> row.member(key.instance()));
		if (!this.parts.access.isFast()) {
			// While a planned change is being written, neither manager is confirmed, so
			// it is postponed while the table is slow.
			return Optional.empty();
		}
		boolean peerStays = peer.filter((member) -> member.phase() != MemberPhase.LEAVING).isPresent();
		Optional<MemberInfo> candidate = choice().candidate(row, now);
		if (this.parts.leaving) {
			Optional<MemberInfo> successor = (peerStays) ? peer : candidate;
			return successor
				.map((next) -> row.nextEpoch(next.key(),
						candidate.map(MemberInfo::key).filter((key) -> !key.equals(next.key())), row.unclosed()))
				.or(() -> lastOneLeaves(row));
		}
		boolean wanted = (this.parts.manager.isLone()) ? candidate.isPresent() : peer.isPresent() && !peerStays;
		return (wanted && this.parts.timers.epochDue(now, EPOCH_TRY_MILLIS))
				? Optional.of(row.nextEpoch(this.parts.me.key(), candidate.map(MemberInfo::key), row.unclosed()))
				: Optional.empty();
	}

	Optional<CellRow> lastOneLeaves(CellRow row) {
		boolean alone = row.members().stream().allMatch((member) -> member.key().equals(this.parts.me.key()));
		return (alone && row.ownedBy(this.parts.me.instance()).isEmpty())
				? Optional.of(row.withoutMember(this.parts.me.instance()).abandoned()) : Optional.empty();
	}

	void plan(long now) {
		this.parts.primaryState.onAnnouncement(this.parts.me, now);
		boolean balance = this.parts.timers.balanceDue(now);
		VersionedRow known = this.parts.lease.known();
		PlanFacts facts = this.parts.primaryState.facts(known, this.parts.manager, this.parts.placement, balance, now);
		RowPlanner.Plan plan = new RowPlanner(facts).plan();
		this.parts.primaryState.moves(plan.moves());
		if (!plan.row().equals(known.row())) {
			facts.lost()
				.forEach((key) -> this.parts.out.recordEvent(EventKind.MEMBER_LOST, key.instance(),
						"%d ranges".formatted(known.row().ownedBy(key.instance()).size())));
			this.parts.primaryState.removeAnnouncements(facts.lost());
			this.rows.propose(plan.row(), now);
		}
	}

	void requestReleases(long now) {
		// While the table is down, no member could be assigned a released range, so the
		// table must have answered a moment ago.
		if (this.parts.primaryState.moves().isEmpty() || !this.parts.access.readWithin(MAX_READ_AGE_MILLIS, now)
				|| !this.parts.timers.releaseDue(now, PUSH_MILLIS)) {
			return;
		}
		for (MemberInfo member : this.parts.lease.known().row().members()) {
			List<HeldRange> wanted = this.parts.lease.known()
				.row()
				.ownedBy(member.instance())
				.stream()
				.map(RangeState::held)
				.filter((held) -> this.parts.primaryState.moves().stream().anyMatch((move) -> move.held().equals(held)))
				.filter((held) -> !this.parts.primaryState.isReleased(held))
				.toList();
			if (!wanted.isEmpty()) {
				this.parts.out.send(member.instance(), new ControlMessage.Release(wanted));
			}
		}
	}

	void onHeartbeat(InstanceId from, ControlMessage.Heartbeat heartbeat, long now) {
		MemberKey key = new MemberKey(from, heartbeat.incarnation());
		VersionedRow known = this.parts.lease.known();
		if (this.parts.manager.isActive()) {
			long span = this.parts.manager.renew(key, heartbeat, known.row(), this.parts.access.unsettled(), now);
			this.parts.out.send(from, new ControlMessage.Renewal(heartbeat.incarnation(), heartbeat.sentAt(),
					this.parts.manager.epoch(), this.parts.manager.minVersion(), span, this.parts.document));
		}
		this.rows.pushIfBehind(from, heartbeat.version(), now);
	}

	void onBeat(InstanceId from, ControlMessage.Beat beat, long now) {
		this.parts.manager.answerBeat(new MemberKey(from, beat.incarnation()), beat, now)
			.ifPresent((answer) -> this.parts.out.send(from, answer));
		this.rows.pushIfBehind(from, beat.version(), now);
		boolean answers = this.parts.manager.isActive() && !this.parts.manager.isPrimary();
		if (answers && this.parts.timers.beatDue(now, this.parts.timing.beat() / 2)) {
			beatWithHeartbeat(now);
		}
	}

	void onBeatAnswer(InstanceId from, ControlMessage.BeatAnswer answer, long now) {
		boolean mine = answer.incarnation() == this.parts.me.key().incarnation();
		this.parts.manager.peer()
			.filter((peer) -> mine && peer.instance().equals(from))
			.ifPresent((peer) -> this.parts.manager.onBeatAnswer(peer, answer, now));
	}

	void onAnnouncement(InstanceId from, ControlMessage.Announce announce, long now) {
		if (!this.parts.manager.isActive() || !announce.member().instance().equals(from)) {
			return;
		}
		this.parts.primaryState.onAnnouncement(announce.member(), now);
		CellRow row = this.parts.lease.known().row();
		row.unclosed()
			.stream()
			.filter((old) -> old.find(from).filter((key) -> !key.equals(announce.member().key())).isPresent())
			.forEach((old) -> this.parts.manager.formerPairs().onManagerStopped(old, now));
		if (row.member(from).filter(announce.member()::equals).isPresent()) {
			this.rows.pushIfBehind(from, 0, now);
		}
	}

	void onOrder(InstanceId from, ControlMessage.OrderSent sent, long now) {
		OperatorOrders orders = new OperatorOrders(this.parts.lease.known(), this.parts.manager,
				this.parts.primaryState, this.parts.access);
		OperatorOrders.Answer answer = orders.handle(sent.order(), now);
		this.parts.out.send(from, new ControlMessage.OrderAnswer(sent.number(), answer.accepted(), answer.detail()));
	}

}
