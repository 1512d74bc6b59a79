package org.brasspier.core.calls;

import java.time.Duration;

/**
 * A count whose past additions lose half of their weight in each half-life. Times are
 * nanoseconds of one monotonic clock. Not thread-safe.
 */
final class DecayingCount {

	private final double halfLifeNanos;

	private double count;

	private long countedNanos;

	DecayingCount(Duration halfLife) {
		this.halfLifeNanos = halfLife.toNanos();
	}

	void add(double amount, long now) {
		this.count = value(now) + amount;
		this.countedNanos = Math.max(this.countedNanos, now);
	}

	double value(long now) {
		return this.count * Math.pow(0.5, Math.max(0, now - this.countedNanos) / this.halfLifeNanos);
	}

}
