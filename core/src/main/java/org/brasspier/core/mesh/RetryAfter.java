package org.brasspier.core.mesh;

import java.time.Duration;

/**
 * When a caller that was refused should come back. It comes back if it is told at most a
 * third of the time that it has left. The pause is what the refusing side expects: where
 * that is more than the caller can wait, saying less would only bring it back to be
 * refused again, and its second request would take the place of somebody's first. Where
 * nobody knows, it is as long as the caller can wait. Stateless and thread-safe.
 */
public final class RetryAfter {

	/** Below a third, so that the way to the caller doesn't push it over. */
	private static final double MOST_SHARE = 0.3;

	/** A pause shorter than the way to most callers and back is none. */
	private static final Duration SHORTEST = Duration.ofMillis(20);

	private RetryAfter() {
	}

	/**
	 * The pause to tell.
	 * @param expected how long the trouble is expected to last; zero if nobody knows
	 * @param remaining how long the caller still waits
	 * @return the pause
	 */
	public static Duration of(Duration expected, Duration remaining) {
		Duration most = Duration.ofNanos((long) (remaining.toNanos() * MOST_SHARE));
		Duration wanted = expected.isZero() ? most : expected;
		return (wanted.compareTo(SHORTEST) < 0) ? SHORTEST : wanted;
	}

}
