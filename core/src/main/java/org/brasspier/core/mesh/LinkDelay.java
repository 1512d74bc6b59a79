package org.brasspier.core.mesh;

import java.time.Duration;

/**
 * Measures how long a message of one connection was delayed in transit. It guards against
 * stale requests: a link is cut or a process is paused while bytes are in transit, and
 * the kernel delivers them seconds later. A request states how much time it had left when
 * it was written; if that were taken as it stands, the request would reach a backend
 * server long after its caller has left. Both ends measure time from the start of the
 * connection, so their clocks need not agree; the fastest message so far is the baseline.
 * Not thread-safe.
 */
public final class LinkDelay {

	/**
	 * A sender closes a connection that was silent for this time while it waited for an
	 * answer, and counts the request's outcome as unknown. Nobody waits for a message
	 * that was delayed longer.
	 */
	public static final Duration SILENCE_TIMEOUT = Duration.ofMillis(400);

	private long fastestNanos;

	/**
	 * Records a message that was received.
	 * @param sentNanos when it was written, measured from the start of the connection at
	 * the sender
	 * @param receivedNanos when it was read, measured from the start of the connection at
	 * the receiver
	 * @return its delay beyond that of the fastest message, in nanoseconds, at least 0
	 */
	public long delayNanos(long sentNanos, long receivedNanos) {
		long transitNanos = receivedNanos - sentNanos;
		this.fastestNanos = Math.min(this.fastestNanos, transitNanos);
		return transitNanos - this.fastestNanos;
	}

	/**
	 * Returns whether the sender has closed the connection during a delay.
	 * @param delayNanos the delay, in nanoseconds
	 * @return true if nobody waits for the message
	 */
	public static boolean exceedsTimeout(long delayNanos) {
		return delayNanos >= SILENCE_TIMEOUT.toNanos();
	}

}
