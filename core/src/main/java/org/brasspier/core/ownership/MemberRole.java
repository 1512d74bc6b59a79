package org.brasspier.core.ownership;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.InstanceId;
import org.brasspier.core.event.EventKind;

/**
 * The work of a process as a member: maintains its lease, releases ranges, and searches
 * for lease managers when it hears none. Not thread-safe.
 */
final class MemberRole {

	/**
	 * Interval at which announcements and released ranges are sent until the row shows
	 * them.
	 */
	private static final long REPEAT_INTERVAL_MILLIS = 200;

	/** Minimum time between two attempts to take over from the lease managers. */
	private static final long TAKEOVER_RETRY_INTERVAL_MILLIS = 300;

	/**
	 * Time after which a heartbeat counts as unanswered: some tens of network delays
	 * between instances of a region, and half a heartbeat interval.
	 */
	private static final long HEARTBEAT_ANSWER_TIMEOUT_MILLIS = 100;

	private final ProcessParts parts;

	private final RowHandler rowHandler;

	MemberRole(ProcessParts parts, RowHandler rows) {
		this.parts = parts;
		this.rowHandler = rows;
	}

	void recordLapse(long now) {
		if (this.parts.timers.wasLeaseValid() && !this.parts.lease.isValid(now)) {
			this.parts.outbox.recordEvent(EventKind.LEASE_LAPSED, this.parts.me.instance(),
					"epoch " + this.parts.lease.epoch());
		}
		this.parts.timers.setLeaseValid(this.parts.lease.isValid(now));
	}

	void doPeriodicWork(long now) {
		CellRow row = this.parts.lease.known().row();
		boolean rowIsCurrent = row.member(this.parts.me.instance()).filter(this.parts.me::equals).isPresent();
		if (!rowIsCurrent && row.managers().isPresent() && this.parts.timers.announceDue(now, REPEAT_INTERVAL_MILLIS)) {
			sendToManagers(row, new ControlMessage.Announce(this.parts.me));
		}
		boolean hasPeer = this.parts.manager.peer().isPresent();
		heartbeatIfDue(row, (hasPeer) ? -this.parts.timing.beat() / 2 : 0, now);
		// Needed if the member reaches only one manager, or if one manager is lost: every
		// second heartbeat would be lost, and a pause of 200 ms would then cost the
		// member its lease.
		if (row.has(this.parts.me.key())
				&& this.parts.timers.heartbeatMissed(this.parts.managerHeardAt, HEARTBEAT_ANSWER_TIMEOUT_MILLIS, now)) {
			sendHeartbeat(row, now);
		}
		List<ControlMessage.ReleasedRange> released = this.parts.lease.released();
		if (!released.isEmpty() && this.parts.timers.releasedDue(now, REPEAT_INTERVAL_MILLIS)) {
			sendReleased(released);
		}
	}

	// A manager sends its heartbeat together with a beat, up to half a beat interval
	// early. It sends a separate one, half a beat interval late, only if no beat was due.
	void heartbeatIfDue(CellRow row, long earlyMillis, long now) {
		if (row.has(this.parts.me.key())
				&& this.parts.timers.heartbeatDue(now, this.parts.timing.heartbeat() - earlyMillis)) {
			sendHeartbeat(row, now);
		}
	}

	private void sendHeartbeat(CellRow row, long now) {
		ControlMessage heartbeat = new ControlMessage.Heartbeat(this.parts.me.key().incarnation(), now, row.epoch(),
				this.parts.lease.known().version(), this.parts.lease.leaseLeft(now), this.parts.documentVersion);
		List<MemberKey> renewers = row.managers()
			.stream()
			.flatMap(ManagerPair::managers)
			.filter((key) -> !key.equals(this.parts.me.key())
					|| !this.parts.guards.isEnabled(Guard.MANAGER_RENEWED_BY_PEER))
			.toList();
		this.parts.timers.heartbeatReceivers(renewers)
			.forEach((key) -> this.parts.outbox.send(key.instance(), heartbeat));
	}

	void sendToManagers(CellRow row, ControlMessage message) {
		row.managers()
			.stream()
			.flatMap(ManagerPair::managers)
			.forEach((key) -> this.parts.outbox.send(key.instance(), message));
	}

	void sendReleased(List<ControlMessage.ReleasedRange> released) {
		ControlMessage message = new ControlMessage.Released(this.parts.me.key().incarnation(), released);
		this.parts.lease.known()
			.row()
			.managers()
			.ifPresent((pair) -> this.parts.outbox.send(pair.primary().instance(), message));
	}

	void onRenewal(InstanceId from, ControlMessage.Renewal renewal, long now) {
		boolean wasValid = this.parts.lease.isValid(now);
		if (renewal.epoch() >= this.parts.lease.epoch()) {
			this.parts.managerHeardAt = now;
		}
		if (this.parts.lease.renew(renewal, now)) {
			this.parts.timers.setLeaseValid(true);
			this.parts.outbox.publish();
			if (!wasValid) {
				this.parts.outbox.recordEvent(EventKind.LEASE_GRANTED, this.parts.me.instance(),
						"epoch %d by %s".formatted(renewal.epoch(), from));
			}
		}
	}

	void release(List<HeldRange> ranges) {
		List<HeldRange> draining = this.parts.lease.startDraining(ranges);
		if (!draining.isEmpty()) {
			this.parts.outbox.publish();
			draining.forEach((held) -> this.parts.outbox.add(new OwnershipAction.Drain(held)));
		}
		List<ControlMessage.ReleasedRange> alreadyReleased = this.parts.lease.released()
			.stream()
			.filter((range) -> ranges.contains(range.held()))
			.toList();
		if (!alreadyReleased.isEmpty()) {
			sendReleased(alreadyReleased);
		}
	}

	// A member may not take back a released range, and while the table is down no other
	// member can get it. So a server that is silent for a moment during an outage would
	// be unavailable for the rest of the outage. Therefore a read that was answered after
	// the loss must first show that the table is available; this takes some milliseconds.
	void releaseIfTableAnswers() {
		if (this.parts.backendLostAt.filter((lostAt) -> this.parts.rowAccess.readSentAt() >= lostAt).isPresent()) {
			this.parts.backendLostAt = Optional.empty();
			release(this.parts.lease.held().stream().map(RangeState::held).toList());
		}
	}

	void searchForManagers(long now) {
		CellRow row = this.parts.lease.known().row();
		long silentMillis = now - this.parts.managerHeardAt;
		if (this.parts.lease.known().version() == 0 || this.parts.leaving) {
			return;
		}
		if (silentMillis > this.parts.takeover.silenceTimeout()
				&& this.parts.timers.probeDue(now, Takeover.PROBE_MILLIS)) {
			row.members()
				.stream()
				.map(MemberInfo::instance)
				.filter((instance) -> !instance.equals(this.parts.me.instance()))
				.forEach((instance) -> this.parts.outbox.send(instance, new ControlMessage.Probe()));
		}
		Optional<CellRow> takeoverRow = this.parts.takeover.rowToWrite(row, silentMillis, now);
		if (takeoverRow.isPresent() && this.parts.rowAccess.isIdle(now)
				&& this.parts.timers.takeoverDue(now, TAKEOVER_RETRY_INTERVAL_MILLIS)) {
			this.parts.outbox.recordEvent(EventKind.TAKEOVER_TRIED, this.parts.me.instance(),
					"silent for %d ms".formatted(silentMillis));
			this.rowHandler.propose(takeoverRow.get(), now);
		}
	}

	void onProbe(InstanceId from, long now) {
		long heardAgo = (this.parts.manager.isActive()) ? 0 : now - this.parts.managerHeardAt;
		this.parts.outbox.send(from,
				new ControlMessage.ProbeAnswer(this.parts.me.key().incarnation(), this.parts.lease.epoch(), heardAgo));
	}

}
