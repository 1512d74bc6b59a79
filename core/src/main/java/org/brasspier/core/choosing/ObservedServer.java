package org.brasspier.core.choosing;

/**
 * What was observed of one backend server. Not thread-safe.
 */
final class ObservedServer {

	/**
	 * The weight of a new observation: twenty answers, a fraction of a second, show that
	 * a server has turned slow.
	 */
	private static final double WEIGHT = 1.0 / 20;

	private double slowness = 1;

	private double errors;

	private int inFlight;

	private long lastChosenNanos = Long.MIN_VALUE / 2;

	private long fullUntilNanos = Long.MIN_VALUE / 2;

	void chosen(long now) {
		this.inFlight++;
		this.lastChosenNanos = now;
	}

	void ended(double relativeTime, boolean failed) {
		this.inFlight = Math.max(0, this.inFlight - 1);
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

	double slowness() {
		return this.slowness;
	}

	double errors() {
		return this.errors;
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
