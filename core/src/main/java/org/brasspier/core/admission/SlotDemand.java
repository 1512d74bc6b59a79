package org.brasspier.core.admission;

import java.time.Duration;

/**
 * Average number of slots that a group of classes keeps busy. Not thread-safe.
 */
final class SlotDemand {

	/**
	 * Time constant of the average: long enough to smooth random variation, short enough
	 * to follow a burst.
	 */
	private static final double WINDOW_NANOS = Duration.ofSeconds(5).toNanos();

	private double mean;

	private int current;

	private long changedNanos;

	void change(int by, long now) {
		this.mean = mean(now);
		this.changedNanos = now;
		this.current += by;
	}

	double mean(long now) {
		double kept = Math.exp(-Math.max(0, now - this.changedNanos) / WINDOW_NANOS);
		return this.current + (this.mean - this.current) * kept;
	}

}
