package org.brasspier.daemon.internal.request;

import java.util.function.LongSupplier;

import org.brasspier.core.ownership.HeldRange;
import org.brasspier.core.request.CallerRequest;

/**
 * A request that its owner has admitted, on its way to a backend server. Immutable; its
 * lease is asked in the thread of requests.
 *
 * @param request the request
 * @param held the owner's range with its fence
 * @param deadlineNanos when its caller stops waiting, as {@link System#nanoTime()} counts
 * @param leaseEndNanos until when the owner's lease runs as known now, as
 * {@link System#nanoTime()} counts; in the past if it no longer holds the range
 */
public record Order(CallerRequest request, HeldRange held, long deadlineNanos, LongSupplier leaseEndNanos) {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * The time until the deadline.
	 * @param nowNanos the time, as {@link System#nanoTime()} counts
	 * @return milliseconds, at least 0
	 */
	public int remainingMillis(long nowNanos) {
		return (int) Math.max(0, (this.deadlineNanos - nowNanos) / NANOS_PER_MILLI);
	}

}
