package org.brasspier.core.choosing;

import java.time.Duration;

/**
 * What was observed of one backend server. Not thread-safe.
 */
final class ServerStatistics {

	/**
	 * The weight of a new observation: twenty answers, a fraction of a second, show that
	 * a server has turned slow.
	 */
	private static final double WEIGHT = 1.0 / 20;

	/** Slow servers mostly stay slow for longer than servers that fail go on failing. */
	private static final double SLOWNESS_HALF_LIFE_NANOS = Duration.ofSeconds(10).toNanos();

	/**
	 * A server that nobody asks any more is well again at some time, and nobody would see
	 * it.
	 */
	private static final double ERRORS_HALF_LIFE_NANOS = Duration.ofSeconds(2).toNanos();

	private double slowness = 1;

	private double errors;

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
		this.errors = errors(now);
		this.slowness = slowness(now);
		this.observedNanos = now;
		this.errors += WEIGHT * ((failed ? 1 : 0) - this.errors);
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
		return 1 + (this.slowness - 1) * left(now, SLOWNESS_HALF_LIFE_NANOS);
	}

	double errors(long now) {
		return this.errors * left(now, ERRORS_HALF_LIFE_NANOS);
	}

	private double left(long now, double halfLifeNanos) {
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
