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
	private static final long READ_MANAGER_MILLIS = 4000;

	/** While ranges are to be released, see {@link ManagerRole#requestReleases}. */
	private static final long READ_MOVING_MILLIS = 500;

	private static final long READ_MEMBER_MILLIS = 500;

	/**
	 * While ranges of a lost backend server wait to be released; each interval delays the
	 * recovery.
	 */
	private static final long READ_RELEASING_MILLIS = 50;

	private static final long PUSH_MILLIS = 100;

	private final ProcessParts parts;

	RowHandler(ProcessParts parts) {
		this.parts = parts;
	}

	void propose(CellRow row, long now) {
		long version = this.parts.lease.known().version();
		this.parts.out.add(this.parts.access.propose(version, row, now));
		if (!this.parts.guards.on(Guard.TOLD_AFTER_WRITTEN)) {
			adopt(new VersionedRow(version + 1, row), now);
		}
	}

	void readIfDue(long now) {
		boolean givingUp = this.parts.releasingSince.isPresent();
		boolean silent = now - this.parts.managerHeardAt > this.parts.takeover.silenceTimeout();
		long every = (givingUp) ? READ_RELEASING_MILLIS
				: (this.parts.manager.isLone()) ? this.parts.timing.authority() / 3
						: (this.parts.manager.isActive()) ? managerPeriod() : READ_MEMBER_MILLIS;
		boolean wanted = givingUp || this.parts.manager.isActive() || silent || this.parts.lease.known().version() == 0
				|| !this.parts.lease.known().row().has(this.parts.me.key());
		if (wanted && this.parts.timers.readDue(now, every)) {
			this.parts.access.read(now).ifPresent(this.parts.out::add);
		}
	}

	private long managerPeriod() {
		return (this.parts.primaryState.moves().isEmpty()) ? READ_MANAGER_MILLIS : READ_MOVING_MILLIS;
	}

	void confirmedByTable(CellRow row, long sentAt, long now) {
		if (!this.parts.manager.isActive() || row.epoch() != this.parts.manager.epoch()) {
			return;
		}
		this.parts.manager.onEpochSeen(sentAt);
		boolean alone = this.parts.manager.isLone() && row.has(this.parts.me.key());
		if (alone && this.parts.lease.extend(sentAt, Math.min(this.parts.timing.lease(), this.parts.timing.authority()),
				now)) {
			this.parts.managerHeardAt = now;
			this.parts.timers.setLeaseValid(true);
			this.parts.out.publish();
		}
	}

	void adopt(VersionedRow row, long now) {
		VersionedRow before = this.parts.lease.known();
		RowChange change = new RowChange(this.parts.me.key(), before, row);
		if (!this.parts.lease.adopt(row)) {
			return;
		}
		this.parts.out.publish();
		change.events().forEach(this.parts.out::add);
		this.parts.takeover.adopt(row.row(), now);
		// A process that waited to become a member, as after a restart until its previous
		// incarnation was removed from the row, was not renewed in the meantime. This is
		// no sign that the managers are lost.
		if (change.newEpoch() || change.joined()) {
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
			recordPushes(row.row(), now);
		}
		if (newPair && this.parts.manager.peer().isPresent()) {
			this.parts.beat(now);
		}
		this.parts.left = this.parts.leaving && !row.row().has(this.parts.me.key()) && !this.parts.manager.isActive();
		if (this.parts.left) {
			this.parts.out.add(new OwnershipAction.Left());
		}
	}

	// Reduces traffic when ranges move one after another in a full cell: the whole row
	// for each member was 39 KB for one move among 12. Most members have the previous row
	// and get only the changes; a new member has no row, and a member that missed a
	// change requests the whole row.
	private void pushToAll(VersionedRow before, VersionedRow row) {
		RowDelta delta = RowDelta.between(before, row);
		boolean worthwhile = before.version() > 0 && delta.worthwhile(row.row());
		ControlMessage whole = new ControlMessage.RowUpdate(row);
		ControlMessage difference = (worthwhile) ? new ControlMessage.RowDifference(delta) : whole;
		row.row()
			.members()
			.stream()
			.filter((member) -> !member.instance().equals(this.parts.me.instance()))
			.forEach((member) -> this.parts.out.send(member.instance(),
					before.row().has(member.key()) ? difference : whole));
	}

	// Otherwise a heartbeat that was sent before the member received the new row would
	// make it get the whole row although the difference is in transit.
	private void recordPushes(CellRow row, long now) {
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
		else if (this.parts.timers.rowRequestDue(now, PUSH_MILLIS)) {
			this.parts.out.send(from, new ControlMessage.RowRequest(this.parts.lease.known().version()));
		}
	}

	void sendWholeRow(InstanceId to, long version) {
		if (version < this.parts.lease.known().version()) {
			this.parts.out.send(to, new ControlMessage.RowUpdate(this.parts.lease.known()));
		}
	}

	void pushIfBehind(InstanceId to, long version, long now) {
		if (version < this.parts.lease.known().version() && this.parts.timers.pushDue(to, now, PUSH_MILLIS)) {
			this.parts.out.send(to, new ControlMessage.RowUpdate(this.parts.lease.known()));
		}
	}

	void onRowRead(VersionedRow row, long now) {
		Optional<OwnershipAction> again = this.parts.access.onRowRead(row.version(), now);
		again.ifPresent(this.parts.out::add);
		adopt(row, now);
		confirmedByTable(row.row(), this.parts.access.readSentAt(), now);
		if (row.version() == 0 && again.isEmpty() && this.parts.access.isIdle(now) && !this.parts.leaving) {
			propose(CellRow.EMPTY.nextEpoch(this.parts.me.key(), Optional.empty(), List.of()), now);
		}
	}

	void onWritten(long version, long now) {
		CellRow row = this.parts.access.onWritten();
		adopt(new VersionedRow(version, row), now);
		confirmedByTable(row, this.parts.access.writeSentAt(), now);
	}

	void onWriteConflict(long now) {
		this.parts.access.onWriteConflict();
		this.parts.access.settle(now).ifPresent(this.parts.out::add);
	}

	void onWriteUnknown(long now) {
		this.parts.access.onWriteUnknown(now);
		this.parts.out.recordEvent(EventKind.WRITE_UNKNOWN, this.parts.me.instance(), "reading the row back");
	}

}
