package org.brasspier.core.retry;

import java.time.Duration;

import org.HdrHistogram.Histogram;

/**
 * The latencies of recent requests, in two histograms of which the newer one replaces the
 * older one in turn. With one significant digit they take some 3 kB. Not thread-safe.
 */
public final class RecentLatencies {

	private static final long MAX_MICROS = Duration.ofMinutes(10).toNanos() / 1000;

	private final long windowNanos;

	private Histogram current = newHistogram();

	private Histogram previous = newHistogram();

	private long rotateAtNanos;

	/**
	 * Creates empty histograms.
	 * @param window the minimum time that is covered
	 * @param nowNanos the current time, in nanoseconds of the steady clock
	 */
	public RecentLatencies(Duration window, long nowNanos) {
		this.windowNanos = window.toNanos();
		this.rotateAtNanos = nowNanos + this.windowNanos;
	}

	/**
	 * Adds the latency of one request.
	 * @param latencyNanos the latency, in nanoseconds
	 * @param nowNanos the current time, in nanoseconds of the steady clock
	 */
	public void record(long latencyNanos, long nowNanos) {
		if (nowNanos - this.rotateAtNanos >= 0) {
			this.previous = this.current;
			this.current = newHistogram();
			this.rotateAtNanos = nowNanos + this.windowNanos;
		}
		this.current.recordValue(Math.clamp(latencyNanos / 1000, 1, MAX_MICROS));
	}

	/**
	 * Returns a percentile of the latencies.
	 * @param percentile the percentile, from 0 to 100
	 * @return zero if nothing was recorded
	 */
	public Duration percentile(double percentile) {
		Histogram larger = (this.previous.getTotalCount() > this.current.getTotalCount()) ? this.previous
				: this.current;
		return Duration.ofNanos(larger.getValueAtPercentile(percentile) * 1000);
	}

	/**
	 * Returns the number of requests that the percentiles are based on.
	 * @return at least 0
	 */
	public long count() {
		return Math.max(this.previous.getTotalCount(), this.current.getTotalCount());
	}

	private static Histogram newHistogram() {
		return new Histogram(1, MAX_MICROS, 1);
	}

}
