package org.brasspier.core.link;

import java.time.Duration;

/**
 * How much longer than usual a connection may be silent, since messages wait in a link
 * that is full. Not thread-safe; times are nanoseconds of a steady clock.
 */
public final class SilenceAllowance {

	/** Bounds how late a connection is found to be dead. */
	private static final long MAX_NANOS = Duration.ofSeconds(1).toNanos();

	/** Older reports say nothing about the other side's link. */
	private static final long REPORT_AGE_NANOS = Duration.ofSeconds(5).toNanos();

	private long reportedNanos;

	private long reportedAtNanos;

	/**
	 * Records the backlog that the other side has reported.
	 * @param backlog the backlog of its link
	 * @param now the time
	 */
	public void onReport(Duration backlog, long now) {
		this.reportedNanos = backlog.toNanos();
		this.reportedAtNanos = now;
	}

	/**
	 * Returns the additional time.
	 * @param ownNanos backlog of this instance's link, nanoseconds
	 * @param now the time
	 * @return nanoseconds from 0 to a second
	 */
	public long nanos(long ownNanos, long now) {
		long reported = (now - this.reportedAtNanos <= REPORT_AGE_NANOS) ? this.reportedNanos : 0;
		return Math.min(MAX_NANOS, ownNanos + reported);
	}

}
