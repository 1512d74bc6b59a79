package org.brasspier.core.mesh;

import java.time.Duration;

/**
 * How long one daemon's feed of a table lets the store hold an answer back. A call that
 * hangs is noticed only after that time, so a feed that had reason to doubt the store
 * asks for answers at once until it gets one. The feeds of all daemons end one after the
 * other and not together: whatever silences them is noticed by some daemon soon, which
 * tells the others. Not thread-safe; one for each feed.
 */
public final class FeedTiming {

	/** A longer wait saves few calls and finds a silent connection later. */
	private static final Duration LONGEST_WAIT = Duration.ofSeconds(6);

	private static final Duration SHORTEST_WAIT = Duration.ofSeconds(1);

	/** Time between the ends of two daemons' calls while none is disturbed. */
	private static final Duration SPACING = Duration.ofMillis(500);

	private static final Duration FIRST_PAUSE = Duration.ofMillis(100);

	private static final Duration LONGEST_PAUSE = Duration.ofMillis(800);

	private boolean doubted;

	// The feeds of all daemons end together after a start, a change or an outage.
	private boolean inStep = true;

	private Duration pause = FIRST_PAUSE;

	/**
	 * How long the store may hold back the next answer.
	 * @param position this instance's place among all that are known, from 0
	 * @param instances how many are known, at least 1
	 * @return the time; zero if the store is to answer at once
	 * @throws IllegalArgumentException if the position is not below the number
	 */
	public Duration nextWait(int position, int instances) {
		if (position < 0 || position >= instances) {
			throw new IllegalArgumentException("position %d must be below %d".formatted(position, instances));
		}
		if (this.doubted) {
			return Duration.ZERO;
		}
		Duration regular = clamp(SPACING.multipliedBy(instances));
		return this.inStep ? regular.multipliedBy(position + 1L).dividedBy(instances) : regular;
	}

	private static Duration clamp(Duration wait) {
		if (wait.compareTo(SHORTEST_WAIT) < 0) {
			return SHORTEST_WAIT;
		}
		return (wait.compareTo(LONGEST_WAIT) > 0) ? LONGEST_WAIT : wait;
	}

	/**
	 * Takes that the store answered.
	 * @param changed whether it told a change
	 */
	public void onAnswer(boolean changed) {
		this.inStep = changed || this.doubted;
		this.doubted = false;
		this.pause = FIRST_PAUSE;
	}

	/**
	 * Takes that the store did not answer, or turned the call away.
	 * @param took how long the call took
	 * @return how long to wait before the next call; calls that hang are not slowed down
	 * further
	 */
	public Duration onFailure(Duration took) {
		this.doubted = true;
		Duration left = this.pause.minus(took);
		Duration doubled = this.pause.multipliedBy(2);
		this.pause = (doubled.compareTo(LONGEST_PAUSE) > 0) ? LONGEST_PAUSE : doubled;
		return (left.compareTo(FIRST_PAUSE) < 0) ? FIRST_PAUSE : left;
	}

	/**
	 * Whether the store may be silent or turn this instance away.
	 * @return true until it answers
	 */
	public boolean isSuspect() {
		return this.doubted;
	}

	/**
	 * Takes that the store may be silent, for a reason other than a call of this feed.
	 * @return false if that is known already, so that a call without a wait is under way
	 */
	public boolean markSuspect() {
		boolean news = !this.doubted;
		this.doubted = true;
		return news;
	}

}
