package org.brasspier.core.ownership;

import java.util.List;
import java.util.Optional;

/**
 * One write of the row at a time. A write whose answer was lost may have taken effect, or
 * may yet: until the row was read back at a later version nothing else is written, and
 * the same write is sent again while the row is still at the version it began from. What
 * the row says then is the truth, whoever wrote it; nobody is told anything before. Not
 * thread-safe.
 */
final class RowAccess {

	/** Calls that take longer are slow: half of what authority lasts. */
	private static final long QUICK_MILLIS = 300;

	/** How long a failed call is not repeated, so that a store that is down is spared. */
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
				this.reachable, this.stale, quick(), this.lastReadAt, this.answeredSentAt);
	}

	/**
	 * Whether nothing is being written or to be settled.
	 * @param now the time
	 * @return true if a write may be proposed
	 */
	boolean idle(long now) {
		return this.pending.isEmpty() && !this.writing && !this.stale && now >= this.notBefore;
	}

	boolean unsettled() {
		return this.pending.isPresent();
	}

	boolean reachable() {
		return this.reachable;
	}

	/**
	 * Whether the table answered a read within a span.
	 * @param span how long ago that may be
	 * @param now the time
	 * @return true if it did, and nothing has failed since
	 */
	boolean readWithin(long span, long now) {
		return this.reachable && now - this.lastReadAt <= span;
	}

	/**
	 * Whether the table answered a read that was sent at some time or later.
	 * @param time the time
	 * @return true if it did
	 */
	boolean answeredReadOf(long time) {
		return this.answeredSentAt >= time;
	}

	boolean quick() {
		return this.reachable && this.lastTook <= QUICK_MILLIS;
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
	 * What is due: reading back an unknown outcome, or nothing.
	 * @param now the time
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
	 * The row was read.
	 * @param version its version, 0 if there is none
	 * @param now the time
	 * @return the write to send again, if it has not taken effect yet
	 */
	Optional<OwnershipAction> readDone(long version, long now) {
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

	void readFailed(long now) {
		this.reading = false;
		failed(now);
	}

	/**
	 * The write took effect.
	 * @return the row that was written
	 */
	CellRow written() {
		CellRow row = this.pending.orElseThrow().row();
		this.pending = Optional.empty();
		this.writing = false;
		answered();
		return row;
	}

	/**
	 * The row had another version: either another process wrote, or an earlier sending of
	 * this write took effect. Reading it tells.
	 */
	void conflict() {
		this.stale = true;
		this.pending = Optional.empty();
		this.writing = false;
		answered();
	}

	void writeUnknown(long now) {
		this.pending = this.pending.map((write) -> new Pending(write.expectedVersion(), write.row(), true));
		this.writing = false;
		failed(now);
	}

	/**
	 * This sending had no effect; an earlier one of the same write still may.
	 * @param now the time
	 */
	void writeFailed(long now) {
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
	 * A write that is under way or to be settled.
	 *
	 * @param expectedVersion the version it began from
	 * @param row the new contents
	 * @param uncertain whether an earlier sending may have taken effect, or may yet
	 */
	record Pending(long expectedVersion, CellRow row, boolean uncertain) {

	}

}
