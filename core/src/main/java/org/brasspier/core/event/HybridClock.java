package org.brasspier.core.event;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Stamps events so that an effect is never stamped earlier than its cause, though each
 * process has a wall clock of its own. Each message between processes carries the
 * sender's stamp; the receiver's clock then goes on from there. Thread-safe.
 */
public final class HybridClock {

	/**
	 * A stamp further ahead of this process's wall clock is not taken over: one process
	 * with a wildly wrong clock would else drag the time line of all into the future. An
	 * hour is more than any clock that is kept by the usual protocol errs.
	 */
	private static final long MAX_AHEAD_MILLIS = 3_600_000;

	private final AtomicLong last = new AtomicLong();

	/**
	 * Stamps an event of this process, or a message it sends.
	 * @param wallMillis the wall clock, in milliseconds since 1970
	 * @return a stamp later than each that this clock has given or taken
	 */
	public HybridTime tick(long wallMillis) {
		long wall = wallMillis << HybridTime.COUNTER_BITS;
		return new HybridTime(this.last.updateAndGet((before) -> Math.max(before + 1, wall)));
	}

	/**
	 * Takes over the stamp of a message that was received.
	 * @param wallMillis the wall clock, in milliseconds since 1970
	 * @param received the sender's stamp
	 */
	public void receive(long wallMillis, HybridTime received) {
		long ahead = received.millis() - wallMillis;
		if (received.packed() > 0 && ahead <= MAX_AHEAD_MILLIS) {
			this.last.accumulateAndGet(received.packed(), Math::max);
		}
	}

}
