package org.brasspier.core.admission;

/**
 * How fast the queue of one class moves, whatever the cause: classes that go first, a
 * slow server, slots that are kept. Made for saturation and stalls, where queue length
 * times service time promises far too much. Not thread-safe.
 */
final class QueueWaitEstimator {

	/** Some sixteen turns change the estimate: as many as a small server has slots. */
	private static final double WEIGHT = 1.0 / 16;

	private double turnNanos;

	private long lastTurnNanos;

	void onFirstQueued(long now) {
		this.lastTurnNanos = now;
	}

	void onDequeued(long now) {
		this.turnNanos += WEIGHT * (now - this.lastTurnNanos - this.turnNanos);
		this.lastTurnNanos = now;
	}

	/**
	 * How long until so many requests have been taken.
	 * @param count how many
	 * @param now the time
	 * @return the expected time, in nanoseconds
	 */
	double expectedWaitNanos(int count, long now) {
		// A turn that is overdue shows a stall before the average does.
		return count * Math.max(this.turnNanos, now - this.lastTurnNanos);
	}

}
