package org.brasspier.core.mesh;

import java.time.Duration;

/**
 * Computes how long the store may hold back its answer to one daemon's feed of a table,
 * and when a failed call is retried. A call that hangs is noticed only after that wait,
 * so a feed that has reason to suspect the store asks for immediate answers until it gets
 * one. The calls of all daemons' feeds end one after the other and not together, so some
 * daemon soon notices that the store or the connections went silent, and tells the
 * others. Not thread-safe; one for each feed.
 */
public final class FeedTiming {

	/** A longer wait saves few calls and delays the detection of a silent connection. */
	private static final Duration MAX_WAIT = Duration.ofSeconds(6);

	private static final Duration MIN_WAIT = Duration.ofSeconds(1);

	/** The time between the ends of two daemons' calls in normal operation. */
	private static final Duration SPACING = Duration.ofMillis(500);

	private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(100);

	private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(800);

	/**
	 * Longest delay of a daemon that follows the store only because none of its readers
	 * receives answers. The readers notice first that the store answers again, and
	 * forward what they read. When all daemons called as often as readers, 80 daemons
	 * made 270 calls per second for as long as an outage lasted.
	 */
	private static final Duration MAX_FALLBACK_RETRY_DELAY = Duration.ofSeconds(3);

	private static final int FALLBACK_DELAY_FACTOR = 4;

	private boolean suspect;

	// The calls of all daemons end together after a start, a change or an outage.
	private boolean synchronizedEnds = true;

	private Duration retryDelay = MIN_RETRY_DELAY;

	/**
	 * Returns how long the store may hold back the next answer.
	 * @param position this instance's position among all known instances, from 0
	 * @param instances the number of known instances, at least 1
	 * @return the wait; zero if the store is to answer immediately
	 * @throws IllegalArgumentException if the position is not below the number of
	 * instances
	 */
	public Duration nextWait(int position, int instances) {
		if (position < 0 || position >= instances) {
			throw new IllegalArgumentException("position %d must be below %d".formatted(position, instances));
		}
		if (this.suspect) {
			return Duration.ZERO;
		}
		Duration regular = clamp(SPACING.multipliedBy(instances));
		return this.synchronizedEnds ? regular.multipliedBy(position + 1L).dividedBy(instances) : regular;
	}

	private static Duration clamp(Duration wait) {
		if (wait.compareTo(MIN_WAIT) < 0) {
			return MIN_WAIT;
		}
		return (wait.compareTo(MAX_WAIT) > 0) ? MAX_WAIT : wait;
	}

	/**
	 * Records that the store answered.
	 * @param changed whether the answer contained a change
	 */
	public void onAnswer(boolean changed) {
		this.synchronizedEnds = changed || this.suspect;
		this.suspect = false;
		this.retryDelay = MIN_RETRY_DELAY;
	}

	/**
	 * Records that the store did not answer a reader, or rejected the call.
	 * @param took how long the call took
	 * @return how long to wait before the next call; calls that hung until their time-out
	 * are not delayed further
	 */
	public Duration onFailure(Duration took) {
		return onFailure(took, false);
	}

	/**
	 * Records that the store did not answer, or rejected the call.
	 * @param took how long the call took
	 * @param fallback whether this daemon follows the store only because none of its
	 * readers receives answers
	 * @return how long to wait before the next call
	 */
	public Duration onFailure(Duration took, boolean fallback) {
		this.suspect = true;
		Duration delay = fallback ? min(this.retryDelay.multipliedBy(FALLBACK_DELAY_FACTOR), MAX_FALLBACK_RETRY_DELAY)
				: min(this.retryDelay, MAX_RETRY_DELAY);
		this.retryDelay = min(this.retryDelay.multipliedBy(2), MAX_RETRY_DELAY);
		Duration remaining = delay.minus(took);
		return (remaining.compareTo(MIN_RETRY_DELAY) < 0) ? MIN_RETRY_DELAY : remaining;
	}

	private static Duration min(Duration one, Duration other) {
		return (one.compareTo(other) < 0) ? one : other;
	}

	/**
	 * Returns whether the store may be silent or may be rejecting this instance.
	 * @return true until the store answers
	 */
	public boolean isSuspect() {
		return this.suspect;
	}

	/**
	 * Marks the store as suspect for a reason other than a failed call of this feed.
	 * @return false if it was suspect already, so that a call without a wait is in
	 * progress
	 */
	public boolean markSuspect() {
		boolean newlySuspect = !this.suspect;
		this.suspect = true;
		return newlySuspect;
	}

}
