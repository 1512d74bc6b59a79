package org.brasspier.core.mesh;

import java.time.Duration;

/**
 * How long a message of one connection was held up on its way. The failure it guards
 * against: a link is cut or a process is paused while bytes are on their way, and the
 * kernel delivers them seconds later. A request among them says how much time it had left
 * when it was written; taken at its word it would reach a backend server long after its
 * caller has left. Both ends count time from the connection's beginning, so their clocks
 * need not agree; the quickest message so far tells what counts as not held up. Not
 * thread-safe.
 */
public final class LinkDelay {

	/**
	 * A sender gives a connection up that was silent for this long while it waited for an
	 * answer, and counts the request's outcome as unknown: nobody waits for what was held
	 * up longer.
	 */
	public static final Duration SILENCE_TIMEOUT = Duration.ofMillis(400);

	private long quickestNanos;

	/**
	 * Takes a message that came.
	 * @param sentNanos when it was written, from the connection's beginning at the sender
	 * @param receivedNanos when it was read, from the connection's beginning at the
	 * receiver
	 * @return nanoseconds that it was held up, at least 0
	 */
	public long delayNanos(long sentNanos, long receivedNanos) {
		long tookNanos = receivedNanos - sentNanos;
		this.quickestNanos = Math.min(this.quickestNanos, tookNanos);
		return tookNanos - this.quickestNanos;
	}

	/**
	 * Whether a sender has given up on what was held up for so long.
	 * @param heldUpNanos the time
	 * @return true if nobody waits for it
	 */
	public static boolean exceedsTimeout(long heldUpNanos) {
		return heldUpNanos >= SILENCE_TIMEOUT.toNanos();
	}

}
