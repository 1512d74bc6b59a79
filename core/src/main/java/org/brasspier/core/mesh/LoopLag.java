package org.brasspier.core.mesh;

import java.time.Duration;

/**
 * Measures how far a daemon's event loop is behind, from the lateness of a timer. The
 * loop falls behind if there are more requests than the daemon has processor time for, as
 * after a restart under full load. A request that is read then has waited unread for
 * about as long as the lag, so its caller has less time left than the request states; if
 * that were taken as it stands, the request would reach a backend server after its caller
 * has left. Each request that is accepted also delays the next one further. Not
 * thread-safe.
 */
public final class LoopLag {

	/** The interval of the timer while requests arrive. */
	public static final Duration TICK_INTERVAL = Duration.ofMillis(25);

	/**
	 * The lag at which a request costs the others more than it gains; it is the target
	 * latency of the fastest routes.
	 */
	private static final long SHED_LAG_NANOS = Duration.ofMillis(150).toNanos();

	private static final long NANOS_PER_MILLI = 1_000_000;

	private long lagNanos;

	private long lastTickNanos;

	/**
	 * Records a tick of the timer.
	 * @param dueNanos when it was due, in nanoseconds of the steady clock
	 * @param nowNanos when it fired
	 */
	public void onTick(long dueNanos, long nowNanos) {
		this.lagNanos = Math.max(0, nowNanos - dueNanos);
		this.lastTickNanos = nowNanos;
	}

	/**
	 * Returns how far the loop is behind. An overdue tick counts before it fires, however
	 * late it is, because requests that are read in the same iteration of the loop are
	 * processed before it. When a stopped timer restarts, {@link #onTick(long, long)}
	 * must be called first.
	 * @param nowNanos the current time
	 * @return nanoseconds, at least 0
	 */
	public long lagNanos(long nowNanos) {
		return Math.max(this.lagNanos, nowNanos - this.lastTickNanos - TICK_INTERVAL.toNanos());
	}

	/**
	 * Returns the remaining time of a request that was read now.
	 * @param statedMillis the remaining time that the request states, in milliseconds
	 * @param nowNanos the current time
	 * @return milliseconds, at most the stated time
	 */
	public int remainingMillis(int statedMillis, long nowNanos) {
		return (int) Math.max(0, statedMillis - lagNanos(nowNanos) / NANOS_PER_MILLI);
	}

	/**
	 * Returns whether new requests should be rejected to shed load.
	 * @param nowNanos the current time
	 * @return true if the loop is too far behind
	 */
	public boolean shouldShed(long nowNanos) {
		return lagNanos(nowNanos) >= SHED_LAG_NANOS;
	}

}
