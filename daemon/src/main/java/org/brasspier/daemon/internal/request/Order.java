package org.brasspier.daemon.internal.request;

import java.util.function.LongSupplier;

import org.brasspier.core.ownership.HeldRange;
import org.brasspier.core.request.CallerRequest;

/**
 * A request that its owner has admitted and that is to be run by a backend server.
 * Immutable; the end of the lease is read in the request thread only.
 *
 * @param request the request
 * @param held the owner's range with its fence
 * @param deadlineNanos deadline of the caller, on the clock of {@link System#nanoTime()}
 * @param leaseEndNanos supplies the currently known end of the owner's lease, on the
 * clock of {@link System#nanoTime()}; in the past if the owner no longer holds the range
 */
public record Order(CallerRequest request, HeldRange held, long deadlineNanos, LongSupplier leaseEndNanos) {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Returns the time until the deadline.
	 * @param nowNanos current time, on the clock of {@link System#nanoTime()}
	 * @return milliseconds, at least 0
	 */
	public int remainingMillis(long nowNanos) {
		return (int) Math.max(0, (this.deadlineNanos - nowNanos) / NANOS_PER_MILLI);
	}

}
