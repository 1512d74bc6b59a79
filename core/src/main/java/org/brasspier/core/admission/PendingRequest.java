package org.brasspier.core.admission;

import org.brasspier.core.CallerId;
import org.brasspier.core.RequestClass;

/**
 * A request that asks to be run. Immutable and thread-safe.
 *
 * @param id a number that the daemon never uses twice; not the caller's request id, since
 * resends of one request may wait side by side
 * @param requestClass what it is worth and whether it may run twice
 * @param caller under whose share it counts
 * @param deadlineNanos when its caller stops waiting, on the monotonic clock that is
 * passed to the {@link AdmissionController}, in nanoseconds
 * @param overdue whether its caller has come back so late that it can't be answered
 * within its target any more
 */
public record PendingRequest(long id, RequestClass requestClass, CallerId caller, long deadlineNanos, boolean overdue) {

	/**
	 * Creates a request that can still be answered within its target.
	 * @param id a number that the daemon never uses twice
	 * @param requestClass what it is worth and whether it may run twice
	 * @param caller under whose share it counts
	 * @param deadlineNanos when its caller stops waiting, in nanoseconds
	 */
	public PendingRequest(long id, RequestClass requestClass, CallerId caller, long deadlineNanos) {
		this(id, requestClass, caller, deadlineNanos, false);
	}

}
