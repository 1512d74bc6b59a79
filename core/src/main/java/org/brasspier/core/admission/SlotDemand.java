package org.brasspier.core.admission;

import java.time.Duration;

/**
 * How many slots some classes keep busy on average. Not thread-safe.
 */
final class SlotDemand {

	/** Long enough to level chance, short enough to follow a burst. */
	private static final double WINDOW_NANOS = Duration.ofSeconds(5).toNanos();

	private double mean;

	private int present;

	private long changedNanos;

	void change(int by, long now) {
		this.mean = mean(now);
		this.changedNanos = now;
		this.present += by;
	}

	double mean(long now) {
		double kept = Math.exp(-Math.max(0, now - this.changedNanos) / WINDOW_NANOS);
		return this.present + (this.mean - this.present) * kept;
	}

}
