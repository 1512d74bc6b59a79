package org.brasspier.core.mesh;

import java.time.Duration;

import org.brasspier.core.returns.ReturnTime;

/**
 * Computes when a refused caller should retry. A caller retries only if the delay that it
 * is told is at most a third of its remaining time. The delay is the one that the
 * refusing side expects: if that is more than the caller can wait, a shorter one would
 * only make it retry and be refused again, and its second request would displace another
 * caller's first. If no duration is expected, the delay is as long as the caller can
 * wait. Stateless and thread-safe.
 */
public final class RetryAfter {

	/** A delay shorter than the round trip to most callers has no effect. */
	private static final Duration MIN_DELAY = Duration.ofMillis(20);

	private RetryAfter() {
	}

	/**
	 * Returns the delay to tell the caller.
	 * @param expected how long the condition is expected to last; zero if unknown
	 * @param remaining how long the caller still waits
	 * @return the delay
	 */
	public static Duration of(Duration expected, Duration remaining) {
		Duration delay = expected.isZero() ? ReturnTime.longestDelay(remaining) : expected;
		return (delay.compareTo(MIN_DELAY) < 0) ? MIN_DELAY : delay;
	}

}
