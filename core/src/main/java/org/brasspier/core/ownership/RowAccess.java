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

	/**
	 * Calls that take longer count as slow. The limit is half of the time for which a
	 * manager may renew leases after it was last confirmed.
	 */
	private static final long FAST_CALL_LIMIT_MILLIS = 300;

	/**
	 * Minimum time before a failed call is repeated, to avoid load on a store that is
	 * down.
	 */
	static final long RETRY_DELAY_MILLIS = 200;

	private Optional<PendingWrite> pendingWrite = Optional.empty();

	private boolean writeInProgress;

	private boolean readInProgress;

	private long readSentAt;

	private long lastAnsweredReadSentAt = Long.MIN_VALUE / 4;

	private long writeSentAt;

	private long nextCallNotBefore = Long.MIN_VALUE;

	private boolean reachable = true;

	private boolean readRequired;

	private long lastReadDuration;

	private long lastReadAt = Long.MIN_VALUE / 4;

	RowAccess copy() {
		RowAccess copy = new RowAccess();
		copy.pendingWrite = this.pendingWrite;
		copy.writeInProgress = this.writeInProgress;
		copy.readInProgress = this.readInProgress;
		copy.readSentAt = this.readSentAt;
		copy.lastAnsweredReadSentAt = this.lastAnsweredReadSentAt;
		copy.writeSentAt = this.writeSentAt;
		copy.nextCallNotBefore = this.nextCallNotBefore;
		copy.reachable = this.reachable;
		copy.readRequired = this.readRequired;
		copy.lastReadDuration = this.lastReadDuration;
		copy.lastReadAt = this.lastReadAt;
		return copy;
	}

	List<Object> state() {
		return List.of(this.pendingWrite, this.writeInProgress, this.readInProgress, this.readSentAt, this.writeSentAt,
				this.nextCallNotBefore, this.reachable, this.readRequired, isFast(), this.lastReadAt,
				this.lastAnsweredReadSentAt);
	}

	/**
	 * Returns whether no write is in progress or has an unknown outcome.
	 * @param now current time, milliseconds
	 * @return true if a write may be proposed
	 */
	boolean isIdle(long now) {
		return this.pendingWrite.isEmpty() && !this.writeInProgress && !this.readRequired
				&& now >= this.nextCallNotBefore;
	}

	boolean hasPendingWrite() {
		return this.pendingWrite.isPresent();
	}

	boolean isReachable() {
		return this.reachable;
	}

	/**
	 * Returns whether the table recently answered a read.
	 * @param maxAge the maximum time since the read, milliseconds
	 * @param now current time, milliseconds
	 * @return true if it did, and no call has failed since
	 */
	boolean hasReadWithin(long maxAge, long now) {
		return this.reachable && now - this.lastReadAt <= maxAge;
	}

	/**
	 * Returns whether the table has answered a read that was sent at a given time or
	 * later.
	 * @param earliest the earliest time of sending, milliseconds
	 * @return true if it has
	 */
	boolean hasAnsweredReadSince(long earliest) {
		return this.lastAnsweredReadSentAt >= earliest;
	}

	boolean isFast() {
		return this.reachable && this.lastReadDuration <= FAST_CALL_LIMIT_MILLIS;
	}

	Optional<CellRow> pendingRow() {
		return this.pendingWrite.map(PendingWrite::row);
	}

	long readSentAt() {
		return this.readSentAt;
	}

	long writeSentAt() {
		return this.writeSentAt;
	}

	OwnershipAction propose(long expectedVersion, CellRow row, long now) {
		this.pendingWrite = Optional.of(new PendingWrite(expectedVersion, row, false));
		return sendWrite(now);
	}

	private OwnershipAction sendWrite(long now) {
		PendingWrite write = this.pendingWrite.orElseThrow();
		this.writeInProgress = true;
		this.writeSentAt = now;
		return new OwnershipAction.WriteRow(write.expectedVersion(), write.row());
	}

	/**
	 * Returns the read that resolves an unknown outcome, if one is due.
	 * @param now current time, milliseconds
	 * @return a read, if one is due
	 */
	Optional<OwnershipAction> readIfUnresolved(long now) {
		return ((this.pendingWrite.isPresent() && !this.writeInProgress) || this.readRequired) ? read(now)
				: Optional.empty();
	}

	Optional<OwnershipAction> read(long now) {
		if (this.readInProgress || now < this.nextCallNotBefore) {
			return Optional.empty();
		}
		this.readInProgress = true;
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
		this.readInProgress = false;
		this.readRequired = false;
		this.lastReadDuration = now - this.readSentAt;
		this.lastReadAt = now;
		this.lastAnsweredReadSentAt = this.readSentAt;
		recordAnswer();
		if (this.pendingWrite.isEmpty() || this.writeInProgress) {
			return Optional.empty();
		}
		if (version > this.pendingWrite.get().expectedVersion()) {
			this.pendingWrite = Optional.empty();
			return Optional.empty();
		}
		return Optional.of(sendWrite(now));
	}

	void onReadFailed(long now) {
		this.readInProgress = false;
		recordFailure(now);
	}

	/**
	 * Handles a write that took effect.
	 * @return the row that was written
	 */
	CellRow onWritten() {
		CellRow row = this.pendingWrite.orElseThrow().row();
		this.pendingWrite = Optional.empty();
		this.writeInProgress = false;
		recordAnswer();
		return row;
	}

	/**
	 * Handles a version conflict: either another process wrote the row, or an earlier
	 * attempt of this write took effect. The next read shows which.
	 */
	void onWriteConflict() {
		this.readRequired = true;
		this.pendingWrite = Optional.empty();
		this.writeInProgress = false;
		recordAnswer();
	}

	void onWriteUnknown(long now) {
		this.pendingWrite = this.pendingWrite
			.map((write) -> new PendingWrite(write.expectedVersion(), write.row(), true));
		this.writeInProgress = false;
		recordFailure(now);
	}

	/**
	 * Handles an attempt that had no effect; an earlier attempt of the same write may
	 * still take effect.
	 * @param now current time, milliseconds
	 */
	void onWriteFailed(long now) {
		this.pendingWrite = this.pendingWrite.filter(PendingWrite::uncertain);
		this.writeInProgress = false;
		recordFailure(now);
	}

	private void recordFailure(long now) {
		this.nextCallNotBefore = now + RETRY_DELAY_MILLIS;
		this.reachable = false;
	}

	private void recordAnswer() {
		this.nextCallNotBefore = Long.MIN_VALUE;
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
	record PendingWrite(long expectedVersion, CellRow row, boolean uncertain) {

	}

}
