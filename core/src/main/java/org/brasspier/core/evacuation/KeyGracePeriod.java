package org.brasspier.core.evacuation;

import java.time.Duration;

/**
 * How long the server of a failure domain still serves the keys that it holds after its
 * daemon has learned that the domain is evacuated, so that the keys can move to other
 * domains first. All times are nanoseconds of one steady clock. Not thread-safe.
 */
public final class KeyGracePeriod {

	/** Reserved for a request that was sent at the last moment to arrive. */
	private static final Duration MARGIN = Duration.ofMillis(500);

	private final long lengthNanos;

	private boolean evacuated;

	private long endNanos;

	/**
	 * Creates the state of a domain that is not evacuated.
	 * @param bound time after the acknowledged request within which nothing more may
	 * reach the domain's servers
	 * @param delivery the longest time that the request takes to reach this daemon
	 */
	public KeyGracePeriod(Duration bound, Duration delivery) {
		this.lengthNanos = Math.max(0, bound.minus(delivery).minus(MARGIN).toNanos());
	}

	/**
	 * Records whether the domain is evacuated.
	 * @param nowEvacuated whether it is evacuated
	 * @param recent whether the request cannot be older than its delivery; otherwise
	 * there is no grace period
	 * @param now the current time
	 */
	public void update(boolean nowEvacuated, boolean recent, long now) {
		if (nowEvacuated && !this.evacuated) {
			this.endNanos = recent ? now + this.lengthNanos : now;
		}
		this.evacuated = nowEvacuated;
	}

	/**
	 * Returns whether the server may run a request for a key that it holds.
	 * @param now the current time
	 * @return false once the domain is evacuated and the grace period is over
	 */
	public boolean mayServeKeys(long now) {
		return !this.evacuated || now - this.endNanos < 0;
	}

	/**
	 * Returns the time until the grace period ends.
	 * @param now the current time
	 * @return zero if the domain is not evacuated or the period is over
	 */
	public Duration remaining(long now) {
		return this.evacuated ? Duration.ofNanos(Math.max(0, this.endNanos - now)) : Duration.ZERO;
	}

}
