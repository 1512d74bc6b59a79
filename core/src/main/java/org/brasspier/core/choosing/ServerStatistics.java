package org.brasspier.core.choosing;

import java.time.Duration;

/**
 * Observed performance of one backend server. Not thread-safe.
 */
final class ServerStatistics {

	/**
	 * Weight of a new observation: 20 answers, a fraction of a second, reveal that a
	 * server has become slow.
	 */
	private static final double WEIGHT = 1.0 / 20;

	/**
	 * Slow servers usually stay slow for longer than failing servers continue to fail.
	 */
	private static final double SLOWNESS_HALF_LIFE_NANOS = Duration.ofSeconds(10).toNanos();

	/**
	 * Decay of the error rate: a server that receives no requests recovers at some time,
	 * and no request would reveal it.
	 */
	private static final double ERRORS_HALF_LIFE_NANOS = Duration.ofSeconds(2).toNanos();

	private double slowness = 1;

	private double errorRate;

	private long observedNanos;

	private int inFlight;

	private long lastChosenNanos = Long.MIN_VALUE / 2;

	private long fullUntilNanos = Long.MIN_VALUE / 2;

	void chosen(long now) {
		this.inFlight++;
		this.lastChosenNanos = now;
	}

	void ended(double relativeTime, boolean failed, long now) {
		this.inFlight = Math.max(0, this.inFlight - 1);
		this.errorRate = errorRate(now);
		this.slowness = slowness(now);
		this.observedNanos = now;
		this.errorRate += WEIGHT * ((failed ? 1 : 0) - this.errorRate);
		if (!failed) {
			this.slowness += WEIGHT * (relativeTime - this.slowness);
		}
	}

	void full(long untilNanos) {
		cancelled();
		this.fullUntilNanos = untilNanos;
	}

	void cancelled() {
		this.inFlight = Math.max(0, this.inFlight - 1);
	}

	double slowness(long now) {
		return 1 + (this.slowness - 1) * decay(now, SLOWNESS_HALF_LIFE_NANOS);
	}

	double errorRate(long now) {
		return this.errorRate * decay(now, ERRORS_HALF_LIFE_NANOS);
	}

	private double decay(long now, double halfLifeNanos) {
		return Math.pow(0.5, Math.max(0, now - this.observedNanos) / halfLifeNanos);
	}

	int inFlight() {
		return this.inFlight;
	}

	long fullUntilNanos() {
		return this.fullUntilNanos;
	}

	long lastChosenNanos() {
		return this.lastChosenNanos;
	}

}
