package org.brasspier.core.ownership;

import java.util.List;
import java.util.Optional;

/**
 * Serializes access to the row, with one write at a time. A write whose answer was lost
 * may have taken effect, or may still do so. Until the row has been read back at a later
 * version, nothing else is written, and the same write is repeated while the row is still
 * at the expected version. The row that is read then is authoritative, whoever wrote it;
 * until then no new row is announced. Not thread-safe.
 */
final class RowAccess {

	/** Calls that take longer count as slow: half of the manager authority. */
	private static final long FAST_CALL_LIMIT_MILLIS = 300;

	/**
	 * Minimum time before a failed call is repeated, to avoid load on a store that is
	 * down.
	 */
	static final long RETRY_MILLIS = 200;

	private Optional<Pending> pending = Optional.empty();

	private boolean writing;

	private boolean reading;

	private long readSentAt;

	private long answeredSentAt = Long.MIN_VALUE / 4;

	private long writeSentAt;

	private long notBefore = Long.MIN_VALUE;

	private boolean reachable = true;

	private boolean stale;

	private long lastTook;

	private long lastReadAt = Long.MIN_VALUE / 4;

	RowAccess copy() {
		RowAccess copy = new RowAccess();
		copy.pending = this.pending;
		copy.writing = this.writing;
		copy.reading = this.reading;
		copy.readSentAt = this.readSentAt;
		copy.answeredSentAt = this.answeredSentAt;
		copy.writeSentAt = this.writeSentAt;
		copy.notBefore = this.notBefore;
		copy.reachable = this.reachable;
		copy.stale = this.stale;
		copy.lastTook = this.lastTook;
		copy.lastReadAt = this.lastReadAt;
		return copy;
	}

	List<Object> state() {
		return List.of(this.pending, this.writing, this.reading, this.readSentAt, this.writeSentAt, this.notBefore,
				this.reachable, this.stale, isFast(), this.lastReadAt, this.answeredSentAt);
	}

	/**
	 * Returns whether no write is in progress or has an unknown outcome.
	 * @param now current time, milliseconds
	 * @return true if a write may be proposed
	 */
	boolean isIdle(long now) {
		return this.pending.isEmpty() && !this.writing && !this.stale && now >= this.notBefore;
	}

	boolean unsettled() {
		return this.pending.isPresent();
	}

	boolean reachable() {
		return this.reachable;
	}

	/**
	 * Returns whether the table recently answered a read.
	 * @param span the maximum time since the read, milliseconds
	 * @param now current time, milliseconds
	 * @return true if it did, and no call has failed since
	 */
	boolean readWithin(long span, long now) {
		return this.reachable && now - this.lastReadAt <= span;
	}

	/**
	 * Returns whether the table has answered a read that was sent at a given time or
	 * later.
	 * @param time the earliest time of sending, milliseconds
	 * @return true if it has
	 */
	boolean hasAnsweredReadSince(long time) {
		return this.answeredSentAt >= time;
	}

	boolean isFast() {
		return this.reachable && this.lastTook <= FAST_CALL_LIMIT_MILLIS;
	}

	Optional<CellRow> pendingRow() {
		return this.pending.map(Pending::row);
	}

	long readSentAt() {
		return this.readSentAt;
	}

	long writeSentAt() {
		return this.writeSentAt;
	}

	OwnershipAction propose(long expectedVersion, CellRow row, long now) {
		this.pending = Optional.of(new Pending(expectedVersion, row, false));
		return send(now);
	}

	private OwnershipAction send(long now) {
		Pending write = this.pending.orElseThrow();
		this.writing = true;
		this.writeSentAt = now;
		return new OwnershipAction.WriteRow(write.expectedVersion(), write.row());
	}

	/**
	 * Returns the read that resolves an unknown outcome, if one is due.
	 * @param now current time, milliseconds
	 * @return a read, if one is due
	 */
	Optional<OwnershipAction> settle(long now) {
		return ((this.pending.isPresent() && !this.writing) || this.stale) ? read(now) : Optional.empty();
	}

	Optional<OwnershipAction> read(long now) {
		if (this.reading || now < this.notBefore) {
			return Optional.empty();
		}
		this.reading = true;
		this.readSentAt = now;
		return Optional.of(new OwnershipAction.ReadRow());
	}

	/**
	 * Handles a completed read of the row.
	 * @param version its version, 0 if there is no row
	 * @param now current time, milliseconds
	 * @return the write to repeat, if it has not taken effect yet
	 */
	Optional<OwnershipAction> onRowRead(long version, long now) {
		this.reading = false;
		this.stale = false;
		this.lastTook = now - this.readSentAt;
		this.lastReadAt = now;
		this.answeredSentAt = this.readSentAt;
		answered();
		if (this.pending.isEmpty() || this.writing) {
			return Optional.empty();
		}
		if (version > this.pending.get().expectedVersion()) {
			this.pending = Optional.empty();
			return Optional.empty();
		}
		return Optional.of(send(now));
	}

	void onReadFailed(long now) {
		this.reading = false;
		failed(now);
	}

	/**
	 * Handles a write that took effect.
	 * @return the row that was written
	 */
	CellRow onWritten() {
		CellRow row = this.pending.orElseThrow().row();
		this.pending = Optional.empty();
		this.writing = false;
		answered();
		return row;
	}

	/**
	 * Handles a version conflict: either another process wrote the row, or an earlier
	 * attempt of this write took effect. The next read shows which.
	 */
	void onWriteConflict() {
		this.stale = true;
		this.pending = Optional.empty();
		this.writing = false;
		answered();
	}

	void onWriteUnknown(long now) {
		this.pending = this.pending.map((write) -> new Pending(write.expectedVersion(), write.row(), true));
		this.writing = false;
		failed(now);
	}

	/**
	 * Handles an attempt that had no effect; an earlier attempt of the same write may
	 * still take effect.
	 * @param now current time, milliseconds
	 */
	void onWriteFailed(long now) {
		this.pending = this.pending.filter(Pending::uncertain);
		this.writing = false;
		failed(now);
	}

	private void failed(long now) {
		this.notBefore = now + RETRY_MILLIS;
		this.reachable = false;
	}

	private void answered() {
		this.notBefore = Long.MIN_VALUE;
		this.reachable = true;
	}

	/**
	 * A write that is in progress or has an unknown outcome.
	 *
	 * @param expectedVersion the version that it replaces
	 * @param row the new contents
	 * @param uncertain whether an earlier attempt may have taken effect or may still do
	 * so
	 */
	record Pending(long expectedVersion, CellRow row, boolean uncertain) {

	}

}
