package org.brasspier.core.crash;

import java.time.Duration;

/**
 * Spreads the retries of suspect requests that were refused at a backend server because
 * another one was running, so that each comes back when the ones before it have ended.
 * Not thread-safe.
 */
public final class SuspectTurns {

	private long nextNanos;

	/**
	 * Creates an instance without reserved turns.
	 * @param nowNanos the current time, in nanoseconds of the steady clock
	 */
	public SuspectTurns(long nowNanos) {
		this.nextNanos = nowNanos;
	}

	/**
	 * Reserves the next turn.
	 * @param run how long a request usually runs
	 * @param nowNanos the current time, in nanoseconds of the steady clock
	 * @return the time until the turn
	 */
	public Duration reserve(Duration run, long nowNanos) {
		this.nextNanos = Math.max(this.nextNanos, nowNanos) + run.toNanos();
		return Duration.ofNanos(this.nextNanos - nowNanos);
	}

}
