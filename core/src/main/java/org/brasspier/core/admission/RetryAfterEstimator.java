package org.brasspier.core.admission;

import java.time.Duration;

/**
 * When refused callers of one class should come back: one after the other, as fast as
 * their queue moves. Made for bursts: if all were told the same moment, the burst would
 * only be put off; if all classes were told one after the other, a lookup would be told
 * to wait for audit readers that it goes before.
 * <p>
 * While the server is overloaded there is no room for who comes back: fresh requests
 * alone fill it, and a returning caller is refused again or takes the place of a fresh
 * one. An overload is expected to last as long again as it has lasted. Not thread-safe.
 */
final class RetryAfterEstimator {

	/** Sooner than this a resend would meet the same queue. */
	private static final long SHORTEST_NANOS = Duration.ofMillis(50).toNanos();

	/**
	 * Longer than this a person would resend by hand; the backlog is anybody's guess by
	 * then.
	 */
	private static final long LONGEST_NANOS = Duration.ofSeconds(10).toNanos();

	/** Refusals and runs of about this time tell whether the server is overloaded. */
	private static final double WINDOW_NANOS = Duration.ofMillis(500).toNanos();

	/** Fewer refusals in that time are a moment's chance. */
	private static final double LEAST_REFUSED = 0.5;

	/** From this share of refusals on, who comes back takes the place of another. */
	private static final double OVERLOADED_SHARE = 0.1;

	private long nextNanos;

	private double begun;

	private double refused;

	private long countedNanos;

	private boolean overloaded;

	private long overloadedSinceNanos;

	/**
	 * Takes that a request of the class was begun.
	 * @param now the time
	 */
	void onStarted(long now) {
		decay(now);
		this.begun++;
		noteOverload(now);
	}

	/**
	 * Takes that a request of the class was refused that could have been answered within
	 * its target.
	 * @param now the time
	 */
	void onRefused(long now) {
		decay(now);
		this.refused++;
		noteOverload(now);
	}

	/**
	 * Whether so many are refused that there is no room for who comes back.
	 * @param now the time
	 * @return true if so
	 */
	boolean overloaded(long now) {
		decay(now);
		return this.overloaded && this.refused >= LEAST_REFUSED;
	}

	private void decay(long now) {
		double kept = Math.exp(-Math.max(0, now - this.countedNanos) / WINDOW_NANOS);
		this.begun *= kept;
		this.refused *= kept;
		this.countedNanos = now;
	}

	private void noteOverload(long now) {
		boolean before = this.overloaded;
		this.overloaded = this.refused >= OVERLOADED_SHARE * (this.begun + this.refused);
		if (this.overloaded && !before) {
			this.overloadedSinceNanos = now;
		}
	}

	/**
	 * The pause for one more refused request.
	 * @param now the time
	 * @param waitNanos how long a request of its class would wait now
	 * @param turnNanos how often the backend server takes a request of the class
	 * @return from 50 ms to 10 s
	 */
	Duration nextPause(long now, double waitNanos, double turnNanos) {
		double lasted = this.overloaded ? now - this.overloadedSinceNanos : 0;
		double wait = Math.max(lasted, Math.max(SHORTEST_NANOS, waitNanos));
		long earliest = now + (long) Math.min(LONGEST_NANOS, wait);
		this.nextNanos = Math.max(earliest, Math.min(this.nextNanos + (long) turnNanos, now + LONGEST_NANOS));
		return Duration.ofNanos(this.nextNanos - now);
	}

}
