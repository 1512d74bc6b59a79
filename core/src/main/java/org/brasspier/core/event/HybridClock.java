package org.brasspier.core.event;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A hybrid logical clock. Assigns timestamps to events such that an effect never has an
 * earlier timestamp than its cause, although each process has its own wall clock. Each
 * message between processes carries the sender's timestamp, and the receiver's clock
 * continues from it. Thread-safe.
 */
public final class HybridClock {

	/**
	 * Received timestamps that are further ahead of the local wall clock are ignored.
	 * Otherwise one process with a wildly wrong clock would move the time line of all
	 * processes into the future. One hour is more than the error of any clock that is
	 * synchronized by the usual protocol.
	 */
	private static final long MAX_AHEAD_MILLIS = 3_600_000;

	private final AtomicLong last = new AtomicLong();

	/**
	 * Returns the timestamp for an event of this process or a message that it sends.
	 * @param wallMillis the wall clock time, in milliseconds since 1970
	 * @return a timestamp later than all that this clock has returned or accepted
	 */
	public HybridTime tick(long wallMillis) {
		long wall = wallMillis << HybridTime.COUNTER_BITS;
		return new HybridTime(this.last.updateAndGet((before) -> Math.max(before + 1, wall)));
	}

	/**
	 * Advances the clock to the timestamp of a received message.
	 * @param wallMillis the wall clock time, in milliseconds since 1970
	 * @param received the sender's timestamp
	 */
	public void receive(long wallMillis, HybridTime received) {
		long ahead = received.millis() - wallMillis;
		if (received.packed() > 0 && ahead <= MAX_AHEAD_MILLIS) {
			this.last.accumulateAndGet(received.packed(), Math::max);
		}
	}

}
