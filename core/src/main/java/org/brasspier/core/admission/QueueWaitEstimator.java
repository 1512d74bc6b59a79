package org.brasspier.core.admission;

/**
 * Estimates the wait in the queue of one class from the interval between dequeued
 * requests, whatever determines it: classes of higher priority, a slow server or reserved
 * slots. Under saturation and stalls, queue length times service time would be far too
 * short. Not thread-safe.
 */
final class QueueWaitEstimator {

	/**
	 * Weight of a new interval: about 16 requests change the estimate, the number of
	 * slots of a small server.
	 */
	private static final double WEIGHT = 1.0 / 16;

	private double intervalNanos;

	private long lastDequeuedNanos;

	void onFirstQueued(long now) {
		this.lastDequeuedNanos = now;
	}

	void onDequeued(long now) {
		this.intervalNanos += WEIGHT * (now - this.lastDequeuedNanos - this.intervalNanos);
		this.lastDequeuedNanos = now;
	}

	/**
	 * Returns the expected time until a number of requests has been dequeued.
	 * @param count the number of requests
	 * @param now the current time, in nanoseconds
	 * @return the expected time, in nanoseconds
	 */
	double expectedWaitNanos(int count, long now) {
		// An overdue interval reveals a stall before the average does.
		return count * Math.max(this.intervalNanos, now - this.lastDequeuedNanos);
	}

}
