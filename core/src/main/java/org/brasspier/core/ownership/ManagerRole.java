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

	/** Minimum time between two planned changes of the lease managers. */
	private static final long EPOCH_RETRY_INTERVAL_MILLIS = 500;

	/** Interval at which owners are asked to release ranges that are to be moved. */
	private static final long RELEASE_REQUEST_INTERVAL_MILLIS = 100;

	/** Maximum age of the last answered read when owners are asked to release ranges. */
	private static final long MAX_READ_AGE_MILLIS = 1000;

	private final ProcessParts parts;

	private final RowHandler rowHandler;

	private final MemberRole memberRole;

	ManagerRole(ProcessParts parts, RowHandler rows, MemberRole member) {
		this.parts = parts;
		this.rowHandler = rows;
		this.memberRole = member;
	}

	private ManagerChoice choice() {
		return new ManagerChoice(this.parts.me.key(), this.parts.timing, this.parts.manager);
	}

	void doPeriodicWork(long now) {
		CellRow row = this.parts.lease.known().row();
		if (this.parts.manager.peer().isPresent() && this.parts.timers.beatDue(now, beatInterval())) {
			sendBeatWithHeartbeat(now);
		}
		// A manager that has stopped confirming does not confirm again in this epoch,
		// even if its write failed and the peer is heard again. Only a new epoch restores
		// the pair.
		boolean stopped = this.parts.manager.peer().isPresent()
				&& this.parts.manager.authority().hasStoppedConfirming();
		if (stopped || choice().isPeerSilent(row, now)) {
			replacePeer(row, now);
			return;
		}
		this.parts.peerSilentSince = Optional.empty();
		if (this.parts.manager.isPrimary()) {
			doPrimaryWork(row, now);
		}
		else if (row.challenger().isPresent() && this.parts.rowAccess.isIdle(now)) {
			this.rowHandler.propose(row.withChallenger(Optional.empty()), now);
		}
	}

	// The secondary sends its beat together with its answer to the primary's beat. Only
	// if no beat arrives does it send one itself, at one and a half times the interval,
	// so that the two managers do not send at the same moment and answer in separate TCP
	// segments.
	private long beatInterval() {
		long beat = this.parts.timing.beat();
		return (this.parts.manager.isPrimary()) ? beat : beat + beat / 2;
	}

	// Managers are also members of each other. A heartbeat that would be due soon goes
	// into the same TCP segment as the beat, since the segment's headers are larger than
	// a heartbeat.
	private void sendBeatWithHeartbeat(long now) {
		this.parts.sendBeat(now);
		this.memberRole.heartbeatIfDue(this.parts.lease.known().row(), this.parts.timing.beat() / 2, now);
	}

	// Prevents a cell from stopping for the rest of a table outage because its managers
	// did not hear each other for a moment, for example on a busy machine. A manager that
	// stops confirming does so for the whole epoch, and without the table there is no new
	// epoch. So the table must first have answered a read that was sent after the peer
	// was missed. A peer that is heard again before then is confirmed as before; a lost
	// one is replaced one round trip later.
	void replacePeer(CellRow row, long now) {
		if (!this.parts.manager.authority().hasStoppedConfirming()) {
			if (this.parts.peerSilentSince.isEmpty()) {
				this.parts.peerSilentSince = Optional.of(now);
				this.parts.outbox.recordEvent(EventKind.MANAGER_SUSPECTED,
						this.parts.manager.peer().orElseThrow().instance(), "epoch " + this.parts.manager.epoch());
			}
			if (!this.parts.rowAccess.hasAnsweredReadSince(this.parts.peerSilentSince.get())) {
				this.parts.rowAccess.read(now).ifPresent(this.parts.outbox::add);
				return;
			}
			this.parts.manager.authority().stopConfirming();
		}
		if (this.parts.rowAccess.isIdle(now)) {
			this.rowHandler.propose(row.nextEpoch(this.parts.me.key(),
					choice().candidate(row, now).map(MemberInfo::key), row.unclosed()), now);
		}
	}

	void doPrimaryWork(CellRow row, long now) {
		List<MemberKey> silent = this.parts.manager.revokeSilent(row, now);
		if (!silent.isEmpty()) {
			silent
				.forEach((key) -> this.parts.outbox.recordEvent(EventKind.MEMBER_SUSPECTED, key.instance(), "silent"));
			this.parts.manager.peer().ifPresent((peer) -> this.parts.sendBeat(now));
		}
		if (!this.parts.rowAccess.isIdle(now)) {
			return;
		}
		Optional<CellRow> nextEpoch = plannedEpochChange(row, now);
		if (nextEpoch.isPresent()) {
			this.parts.manager.authority().stopConfirming();
			this.rowHandler.propose(nextEpoch.get(), now);
			return;
		}
		plan(now);
		requestReleases(now);
	}

	// Returns the row in the next epoch if the managers should change: this one leaves,
	// the other one leaves, or there is no other one yet.
	Optional<CellRow> plannedEpochChange(CellRow row, long now) {
		Optional<MemberInfo> peer = this.parts.manager.peer().flatMap((key) -> row.member(key.instance()));
		if (!this.parts.rowAccess.isFast()) {
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
				.or(() -> rowWithoutLastMember(row));
		}
		boolean changeNeeded = (this.parts.manager.isLone()) ? candidate.isPresent() : peer.isPresent() && !peerStays;
		return (changeNeeded && this.parts.timers.epochDue(now, EPOCH_RETRY_INTERVAL_MILLIS))
				? Optional.of(row.nextEpoch(this.parts.me.key(), candidate.map(MemberInfo::key), row.unclosed()))
				: Optional.empty();
	}

	Optional<CellRow> rowWithoutLastMember(CellRow row) {
		boolean isLastMember = row.members().stream().allMatch((member) -> member.key().equals(this.parts.me.key()));
		return (isLastMember && row.ownedBy(this.parts.me.instance()).isEmpty())
				? Optional.of(row.withoutMember(this.parts.me.instance()).withoutManagers()) : Optional.empty();
	}

	void plan(long now) {
		this.parts.primaryState.onAnnouncement(this.parts.me, now);
		boolean balance = this.parts.timers.balanceDue(now);
		VersionedRow known = this.parts.lease.known();
		PlanFacts facts = this.parts.primaryState.facts(known, this.parts.manager, this.parts.placement, balance, now);
		RowPlanner.Plan plan = new RowPlanner(facts).plan();
		this.parts.primaryState.setMoves(plan.moves());
		if (!plan.row().equals(known.row())) {
			facts.lost()
				.forEach((key) -> this.parts.outbox.recordEvent(EventKind.MEMBER_LOST, key.instance(),
						"%d ranges".formatted(known.row().ownedBy(key.instance()).size())));
			this.parts.primaryState.removeAnnouncements(facts.lost());
			this.rowHandler.propose(plan.row(), now);
		}
	}

	void requestReleases(long now) {
		// While the table is down, no member could be assigned a released range, so the
		// table must have answered a read recently.
		if (this.parts.primaryState.moves().isEmpty() || !this.parts.rowAccess.hasReadWithin(MAX_READ_AGE_MILLIS, now)
				|| !this.parts.timers.releaseDue(now, RELEASE_REQUEST_INTERVAL_MILLIS)) {
			return;
		}
		for (MemberInfo member : this.parts.lease.known().row().members()) {
			List<HeldRange> toRelease = this.parts.lease.known()
				.row()
				.ownedBy(member.instance())
				.stream()
				.map(RangeState::held)
				.filter((held) -> this.parts.primaryState.moves().stream().anyMatch((move) -> move.held().equals(held)))
				.filter((held) -> !this.parts.primaryState.isReleased(held))
				.toList();
			if (!toRelease.isEmpty()) {
				this.parts.outbox.send(member.instance(), new ControlMessage.Release(toRelease));
			}
		}
	}

	void onHeartbeat(InstanceId from, ControlMessage.Heartbeat heartbeat, long now) {
		MemberKey key = new MemberKey(from, heartbeat.incarnation());
		VersionedRow known = this.parts.lease.known();
		if (this.parts.manager.isActive()) {
			long duration = this.parts.manager.renew(key, heartbeat, known.row(),
					this.parts.rowAccess.hasPendingWrite(), now);
			this.parts.outbox.send(from, new ControlMessage.Renewal(heartbeat.incarnation(), heartbeat.sentAt(),
					this.parts.manager.epoch(), this.parts.manager.minVersion(), duration, this.parts.documentVersion));
		}
		this.rowHandler.pushIfBehind(from, heartbeat.version(), now);
	}

	void onBeat(InstanceId from, ControlMessage.Beat beat, long now) {
		this.parts.manager.answerBeat(new MemberKey(from, beat.incarnation()), beat, now)
			.ifPresent((answer) -> this.parts.outbox.send(from, answer));
		this.rowHandler.pushIfBehind(from, beat.version(), now);
		boolean isSecondary = this.parts.manager.isActive() && !this.parts.manager.isPrimary();
		if (isSecondary && this.parts.timers.beatDue(now, this.parts.timing.beat() / 2)) {
			sendBeatWithHeartbeat(now);
		}
	}

	void onBeatAnswer(InstanceId from, ControlMessage.BeatAnswer answer, long now) {
		boolean forThisProcess = answer.incarnation() == this.parts.me.key().incarnation();
		this.parts.manager.peer()
			.filter((peer) -> forThisProcess && peer.instance().equals(from))
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
			.filter((formerPair) -> formerPair.find(from)
				.filter((key) -> !key.equals(announce.member().key()))
				.isPresent())
			.forEach((formerPair) -> this.parts.manager.formerPairs().onManagerStopped(formerPair, now));
		if (row.member(from).filter(announce.member()::equals).isPresent()) {
			this.rowHandler.pushIfBehind(from, 0, now);
		}
	}

	void onOrder(InstanceId from, ControlMessage.OrderSent message, long now) {
		OperatorOrders orders = new OperatorOrders(this.parts.lease.known(), this.parts.manager,
				this.parts.primaryState, this.parts.rowAccess);
		OperatorOrders.Answer answer = orders.handle(message.order(), now);
		this.parts.outbox.send(from,
				new ControlMessage.OrderAnswer(message.number(), answer.accepted(), answer.detail()));
	}

}
