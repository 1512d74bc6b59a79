package org.brasspier.core.ownership;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.InstanceId;
import org.brasspier.core.event.EventKind;

/**
 * The work of a process with the row: reads and writes it, applies newer versions and
 * sends them to other members. Not thread-safe.
 */
final class RowHandler {

	/**
	 * A manager does not need to read the row to know it, since it writes the row or
	 * receives it. It reads to show that it reaches the table, which is valid for
	 * minutes, and to see a challenge, which stands for 10 s. Shorter intervals cost too
	 * much: reading a row of 8 KB every second would use most of the 10 KB a second that
	 * a node may spend on control traffic.
	 */
	private static final long MANAGER_READ_INTERVAL_MILLIS = 4000;

	/**
	 * While ranges are to be released: {@link ManagerRole#requestReleases} needs a read
	 * from the last second.
	 */
	private static final long MOVE_READ_INTERVAL_MILLIS = 500;

	/** For a member that is not a manager and does not get the row from one. */
	private static final long MEMBER_READ_INTERVAL_MILLIS = 500;

	/**
	 * While ranges of a lost backend server wait to be released; each interval delays the
	 * recovery.
	 */
	private static final long RELEASE_READ_INTERVAL_MILLIS = 50;

	/**
	 * Minimum time between two whole rows sent to one member, and between two requests
	 * for one.
	 */
	private static final long MIN_PUSH_INTERVAL_MILLIS = 100;

	private final ProcessParts parts;

	RowHandler(ProcessParts parts) {
		this.parts = parts;
	}

	void propose(CellRow row, long now) {
		long version = this.parts.lease.known().version();
		this.parts.outbox.add(this.parts.rowAccess.propose(version, row, now));
		if (!this.parts.guards.isEnabled(Guard.TOLD_AFTER_WRITTEN)) {
			adopt(new VersionedRow(version + 1, row), now);
		}
	}

	void readIfDue(long now) {
		boolean releasing = this.parts.backendLostAt.isPresent();
		boolean managerSilent = now - this.parts.managerHeardAt > this.parts.takeover.silenceTimeout();
		long interval = (releasing) ? RELEASE_READ_INTERVAL_MILLIS
				: (this.parts.manager.isLone()) ? this.parts.timing.authority() / 3
						: (this.parts.manager.isActive()) ? managerReadInterval() : MEMBER_READ_INTERVAL_MILLIS;
		boolean needed = releasing || this.parts.manager.isActive() || managerSilent
				|| this.parts.lease.known().version() == 0 || !this.parts.lease.known().row().has(this.parts.me.key());
		if (needed && this.parts.timers.readDue(now, interval)) {
			this.parts.rowAccess.read(now).ifPresent(this.parts.outbox::add);
		}
	}

	private long managerReadInterval() {
		return (this.parts.primaryState.moves().isEmpty()) ? MANAGER_READ_INTERVAL_MILLIS : MOVE_READ_INTERVAL_MILLIS;
	}

	void onConfirmedByTable(CellRow row, long sentAt, long now) {
		if (!this.parts.manager.isActive() || row.epoch() != this.parts.manager.epoch()) {
			return;
		}
		this.parts.manager.onEpochSeen(sentAt);
		boolean loneMember = this.parts.manager.isLone() && row.has(this.parts.me.key());
		if (loneMember && this.parts.lease.extend(sentAt,
				Math.min(this.parts.timing.lease(), this.parts.timing.authority()), now)) {
			this.parts.managerHeardAt = now;
			this.parts.timers.setLeaseValid(true);
			this.parts.outbox.publish();
		}
	}

	void adopt(VersionedRow row, long now) {
		VersionedRow before = this.parts.lease.known();
		RowChange change = new RowChange(this.parts.me.key(), before, row);
		if (!this.parts.lease.adopt(row)) {
			return;
		}
		this.parts.outbox.publish();
		change.events().forEach(this.parts.outbox::add);
		this.parts.takeover.adopt(row.row(), now);
		// A process that waited to become a member, as after a restart until its previous
		// incarnation was removed from the row, was not renewed in the meantime. This is
		// no sign that the managers are lost.
		if (change.isNewEpoch() || change.hasJoined()) {
			this.parts.managerHeardAt = now;
		}
		boolean newPair = this.parts.manager.adopt(row, now);
		if (newPair) {
			this.parts.primaryState.startEpoch(row.row(), now);
		}
		this.parts.primaryState.adopt(row, now);
		this.parts.timers.onRowChanged();
		if (this.parts.manager.isPrimary()) {
			pushToAll(before, row);
		}
		if (this.parts.manager.isActive()) {
			recordPushTimes(row.row(), now);
		}
		if (newPair && this.parts.manager.peer().isPresent()) {
			this.parts.sendBeat(now);
		}
		this.parts.left = this.parts.leaving && !row.row().has(this.parts.me.key()) && !this.parts.manager.isActive();
		if (this.parts.left) {
			this.parts.outbox.add(new OwnershipAction.Left());
		}
	}

	// Reduces traffic when ranges move one after another in a full cell: the whole row
	// for each member was 39 KB for one move among 12. Most members have the previous row
	// and get only the changes; a new member has no row, and a member that missed a
	// change requests the whole row.
	private void pushToAll(VersionedRow before, VersionedRow row) {
		RowDelta delta = RowDelta.between(before, row);
		boolean sendDelta = before.version() > 0 && delta.isSmallerThan(row.row());
		ControlMessage wholeRow = new ControlMessage.RowUpdate(row);
		ControlMessage update = (sendDelta) ? new ControlMessage.RowDifference(delta) : wholeRow;
		row.row()
			.members()
			.stream()
			.filter((member) -> !member.instance().equals(this.parts.me.instance()))
			.forEach((member) -> this.parts.outbox.send(member.instance(),
					before.row().has(member.key()) ? update : wholeRow));
	}

	// Prevents the whole row from being sent to a member whose heartbeat still reports
	// the previous version because the difference is in transit.
	private void recordPushTimes(CellRow row, long now) {
		row.members().forEach((member) -> this.parts.timers.pushDue(member.instance(), now, 0));
	}

	void onDelta(InstanceId from, RowDelta delta, long now) {
		if (delta.version() <= this.parts.lease.known().version()) {
			return;
		}
		Optional<VersionedRow> next = delta.applyTo(this.parts.lease.known());
		if (next.isPresent()) {
			adopt(next.get(), now);
		}
		else if (this.parts.timers.rowRequestDue(now, MIN_PUSH_INTERVAL_MILLIS)) {
			this.parts.outbox.send(from, new ControlMessage.RowRequest(this.parts.lease.known().version()));
		}
	}

	void sendWholeRow(InstanceId to, long version) {
		if (version < this.parts.lease.known().version()) {
			this.parts.outbox.send(to, new ControlMessage.RowUpdate(this.parts.lease.known()));
		}
	}

	void pushIfBehind(InstanceId to, long version, long now) {
		if (version < this.parts.lease.known().version()
				&& this.parts.timers.pushDue(to, now, MIN_PUSH_INTERVAL_MILLIS)) {
			this.parts.outbox.send(to, new ControlMessage.RowUpdate(this.parts.lease.known()));
		}
	}

	void onRowRead(VersionedRow row, long now) {
		Optional<OwnershipAction> repeatedWrite = this.parts.rowAccess.onRowRead(row.version(), now);
		repeatedWrite.ifPresent(this.parts.outbox::add);
		adopt(row, now);
		onConfirmedByTable(row.row(), this.parts.rowAccess.readSentAt(), now);
		if (row.version() == 0 && repeatedWrite.isEmpty() && this.parts.rowAccess.isIdle(now) && !this.parts.leaving) {
			propose(CellRow.EMPTY.nextEpoch(this.parts.me.key(), Optional.empty(), List.of()), now);
		}
	}

	void onWritten(long version, long now) {
		CellRow row = this.parts.rowAccess.onWritten();
		adopt(new VersionedRow(version, row), now);
		onConfirmedByTable(row, this.parts.rowAccess.writeSentAt(), now);
	}

	void onWriteConflict(long now) {
		this.parts.rowAccess.onWriteConflict();
		this.parts.rowAccess.readIfUnresolved(now).ifPresent(this.parts.outbox::add);
	}

	void onWriteUnknown(long now) {
		this.parts.rowAccess.onWriteUnknown(now);
		this.parts.outbox.recordEvent(EventKind.WRITE_UNKNOWN, this.parts.me.instance(), "reading the row back");
	}

}
