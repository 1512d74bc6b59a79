package org.brasspier.core.retry;

import java.time.Duration;

import org.HdrHistogram.Histogram;

/**
 * How long requests took lately, in two halves that replace each other. One significant
 * digit keeps it to some 3 kB. Not thread-safe.
 */
public final class RecentLatencies {

	private static final long LONGEST_MICROS = Duration.ofMinutes(10).toNanos() / 1000;

	private final long halfNanos;

	private Histogram present = histogram();

	private Histogram past = histogram();

	private long turnNanos;

	/**
	 * Creates times that hold nothing.
	 * @param window how far back they reach at least
	 * @param now the time, in nanoseconds
	 */
	public RecentLatencies(Duration window, long now) {
		this.halfNanos = window.toNanos();
		this.turnNanos = now + this.halfNanos;
	}

	/**
	 * Adds one request.
	 * @param tookNanos how long it took
	 * @param now the time, in nanoseconds
	 */
	public void record(long tookNanos, long now) {
		if (now - this.turnNanos >= 0) {
			this.past = this.present;
			this.present = histogram();
			this.turnNanos = now + this.halfNanos;
		}
		this.present.recordValue(Math.clamp(tookNanos / 1000, 1, LONGEST_MICROS));
	}

	/**
	 * The time that a share of requests kept to.
	 * @param percentile the share, in percent
	 * @return zero if nothing was recorded
	 */
	public Duration percentile(double percentile) {
		Histogram full = (this.past.getTotalCount() > this.present.getTotalCount()) ? this.past : this.present;
		return Duration.ofNanos(full.getValueAtPercentile(percentile) * 1000);
	}

	/**
	 * How many requests the figures stand on.
	 * @return at least 0
	 */
	public long count() {
		return Math.max(this.past.getTotalCount(), this.present.getTotalCount());
	}

	private static Histogram histogram() {
		return new Histogram(1, LONGEST_MICROS, 1);
	}

}
