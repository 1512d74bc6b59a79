package org.brasspier.core.admission;

import java.time.Duration;

/**
 * When refused callers of one class should come back: one after the other, as fast as
 * their queue moves. Made for bursts: if all were told the same moment, the burst would
 * only be put off; if all classes were told one after the other, a lookup would be told
 * to wait for audit readers that it goes before.
 * <p>
 * While the server is saturated there is no room for who comes back: fresh requests alone
 * fill it, and a returning caller is refused again or takes the place of a fresh one. An
 * overload is expected to last as long again as it has lasted. Not thread-safe.
 */
final class RetryTimes {

	/** Sooner than this a resend would meet the same queue. */
	private static final long SHORTEST_NANOS = Duration.ofMillis(50).toNanos();

	/**
	 * Longer than this a person would resend by hand; the backlog is anybody's guess by
	 * then.
	 */
	private static final long LONGEST_NANOS = Duration.ofSeconds(10).toNanos();

	private long nextNanos;

	private long freeNanos;

	private boolean everFree;

	/**
	 * Takes that a request of the class found a free slot.
	 * @param now the time
	 */
	void foundFreeSlot(long now) {
		this.freeNanos = now;
		this.everFree = true;
	}

	/**
	 * The pause for one more refused request.
	 * @param now the time
	 * @param waitNanos how long a request of its class would wait now
	 * @param turnNanos how often the backend server takes a request of the class
	 * @return from 50 ms to 10 s
	 */
	Duration next(long now, double waitNanos, double turnNanos) {
		long saturated = this.everFree ? now - this.freeNanos : 0;
		double wait = Math.max(saturated, Math.max(SHORTEST_NANOS, waitNanos));
		long earliest = now + (long) Math.min(LONGEST_NANOS, wait);
		this.nextNanos = Math.max(earliest, Math.min(this.nextNanos + (long) turnNanos, now + LONGEST_NANOS));
		return Duration.ofNanos(this.nextNanos - now);
	}

}
