package org.brasspier.core.mesh;

import java.time.Duration;

/**
 * When a caller that was refused should come back. It comes back once, if it is told a
 * time of at most a third of what it has left; told a longer one it is lost, and told a
 * shorter one than the trouble lasts it is refused again. So the pause is what the
 * refusing side expects, but never more than the caller can wait. Stateless and
 * thread-safe.
 */
public final class RetryPause {

	/** Below a third, so that the way to the caller doesn't push it over. */
	private static final double MOST_SHARE = 0.3;

	/** A pause shorter than the way to most callers and back is none. */
	private static final Duration SHORTEST = Duration.ofMillis(20);

	private RetryPause() {
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
		Duration bounded = (wanted.compareTo(most) > 0) ? most : wanted;
		return (bounded.compareTo(SHORTEST) < 0) ? SHORTEST : bounded;
	}

}
