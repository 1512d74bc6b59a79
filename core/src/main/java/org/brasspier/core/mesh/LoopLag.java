package org.brasspier.core.mesh;

import java.time.Duration;

/**
 * How far a daemon's event loop is behind, from a timer that fires late. The load is more
 * requests than the daemon has processor time for, as after a restart under full load.
 * What is read then has waited unread for about as long, so its caller has less time than
 * it says; taken at its word, it would reach a backend server after its caller has left.
 * And each request let in makes the next one later still. Not thread-safe.
 */
public final class LoopLag {

	/** How often the timer fires while requests come. */
	public static final Duration TICK_INTERVAL = Duration.ofMillis(25);

	/**
	 * Behind by this much, a request costs others more than it gains: it is the target
	 * latency of the quickest routes.
	 */
	private static final long SHED_NANOS = Duration.ofMillis(150).toNanos();

	private static final long NANOS_PER_MILLI = 1_000_000;

	private long lagNanos;

	private long tickedNanos;

	/**
	 * Takes a tick of the timer.
	 * @param dueNanos when it was due, by a steady clock
	 * @param now when it came
	 */
	public void onTick(long dueNanos, long now) {
		this.lagNanos = Math.max(0, now - dueNanos);
		this.tickedNanos = now;
	}

	/**
	 * How far the loop is behind. A tick that is overdue counts before it comes, however
	 * late it is: requests that are read in the same turn of the loop come before it. A
	 * timer that rested is told of a tick when it begins again.
	 * @param now the time
	 * @return nanoseconds, at least 0
	 */
	public long lagNanos(long now) {
		return Math.max(this.lagNanos, now - this.tickedNanos - TICK_INTERVAL.toNanos());
	}

	/**
	 * The time that a request has left, which was read now.
	 * @param saidMillis what it says
	 * @param now the time
	 * @return milliseconds; not more than it says
	 */
	public int remainingMillis(int saidMillis, long now) {
		return (int) Math.max(0, saidMillis - lagNanos(now) / NANOS_PER_MILLI);
	}

	/**
	 * Whether new requests are to be turned away.
	 * @param now the time
	 * @return true if the loop is too far behind
	 */
	public boolean shouldShed(long now) {
		return lagNanos(now) >= SHED_NANOS;
	}

}
