package org.brasspier.daemon.internal.ownership;

import java.util.concurrent.TimeUnit;

/**
 * The clock of the ownership state machine: milliseconds of the steady clock since this
 * object was created. Rounds down, so that messages count as sent early and leases as
 * ended early. Immutable and thread-safe.
 */
final class StateMachineClock {

	private final long startNanos = System.nanoTime();

	long now() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startNanos);
	}

	/**
	 * Converts a time of this clock to the clock of {@link System#nanoTime()}.
	 * @param millis the time; any time before the start of this clock gives 1 ms before
	 * the start
	 * @return the time in nanoseconds
	 */
	long nanosAt(long millis) {
		return this.startNanos + TimeUnit.MILLISECONDS.toNanos(Math.max(millis, -1));
	}

}
