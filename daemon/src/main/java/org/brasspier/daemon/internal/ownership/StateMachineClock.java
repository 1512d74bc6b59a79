package org.brasspier.daemon.internal.ownership;

import java.util.concurrent.TimeUnit;

/**
 * The clock of the state machine: milliseconds since this process created it, on the
 * monotonic clock. Rounds down, so that what was sent counts as sent early and a lease as
 * ended early. Immutable and thread-safe.
 */
final class StateMachineClock {

	private final long startNanos = System.nanoTime();

	long now() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startNanos);
	}

	/**
	 * When a time on this clock is, as {@link System#nanoTime()} counts.
	 * @param millis the time; before the start of this clock if it has long passed
	 * @return the time in nanoseconds
	 */
	long nanosAt(long millis) {
		return this.startNanos + TimeUnit.MILLISECONDS.toNanos(Math.max(millis, -1));
	}

}
