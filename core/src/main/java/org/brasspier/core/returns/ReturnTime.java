package org.brasspier.core.returns;

import java.time.Duration;

/**
 * The rule by which callers decide whether they come back: only if the delay that they
 * are told is at most a third of their remaining time. Stateless and thread-safe.
 */
public final class ReturnTime {

	private static final int HONOURED_DIVISOR = 3;

	/** Below a third, so that network delay to the caller does not push it over. */
	private static final double MAX_SHARE = 0.3;

	private ReturnTime() {
	}

	/**
	 * Returns the longest delay that a caller should be told so that it comes back.
	 * @param remaining how long the caller still waits
	 * @return the delay
	 */
	public static Duration longestDelay(Duration remaining) {
		return Duration.ofNanos((long) (remaining.toNanos() * MAX_SHARE));
	}

	/**
	 * Returns whether a caller that is told a delay may come back.
	 * @param delay the delay
	 * @param remaining how long the caller still waits
	 * @return true if so
	 */
	public static boolean mayComeBack(Duration delay, Duration remaining) {
		return delay.toNanos() <= remaining.toNanos() / HONOURED_DIVISOR;
	}

}
