package org.brasspier.core.admission;

import org.brasspier.core.CallerId;
import org.brasspier.core.RequestClass;
import org.brasspier.core.returns.RequestOrigin;

/**
 * A request to be admitted. Immutable and thread-safe.
 *
 * @param id a number that the daemon never reuses; not the caller's request id, since
 * resends of one request may wait side by side
 * @param requestClass its priority and whether it may run twice
 * @param caller the caller whose share it counts toward
 * @param deadlineNanos when its caller stops waiting, in nanoseconds of the monotonic
 * clock used with the {@link AdmissionController}
 * @param overdue whether it was resent so late that it can't be answered within its
 * target latency
 * @param route name of its route; empty if unknown
 * @param urgency its urgency among the waiting requests of its class
 * @param origin whether it is a return, and on which instance it began
 */
public record PendingRequest(long id, RequestClass requestClass, CallerId caller, long deadlineNanos, boolean overdue,
		String route, Urgency urgency, RequestOrigin origin) {

	/**
	 * Creates a request of unknown origin.
	 * @param id a number that the daemon never reuses
	 * @param requestClass its priority and whether it may run twice
	 * @param caller the caller whose share it counts toward
	 * @param deadlineNanos when its caller stops waiting, in nanoseconds
	 * @param overdue whether it can't be answered within its target latency
	 * @param route name of its route; empty if unknown
	 * @param urgency its urgency among the waiting requests of its class
	 */
	public PendingRequest(long id, RequestClass requestClass, CallerId caller, long deadlineNanos, boolean overdue,
			String route, Urgency urgency) {
		this(id, requestClass, caller, deadlineNanos, overdue, route, urgency, RequestOrigin.UNKNOWN);
	}

	/**
	 * Creates a request of unknown urgency.
	 * @param id a number that the daemon never reuses
	 * @param requestClass its priority and whether it may run twice
	 * @param caller the caller whose share it counts toward
	 * @param deadlineNanos when its caller stops waiting, in nanoseconds
	 * @param overdue whether it can't be answered within its target latency
	 * @param route name of its route; empty if unknown
	 * @param origin whether it is a return, and on which instance it began
	 */
	public PendingRequest(long id, RequestClass requestClass, CallerId caller, long deadlineNanos, boolean overdue,
			String route, RequestOrigin origin) {
		this(id, requestClass, caller, deadlineNanos, overdue, route, Urgency.UNKNOWN, origin);
	}

	/**
	 * Creates a request of unknown urgency and origin.
	 * @param id a number that the daemon never reuses
	 * @param requestClass its priority and whether it may run twice
	 * @param caller the caller whose share it counts toward
	 * @param deadlineNanos when its caller stops waiting, in nanoseconds
	 * @param overdue whether it can't be answered within its target latency
	 * @param route name of its route; empty if unknown
	 */
	public PendingRequest(long id, RequestClass requestClass, CallerId caller, long deadlineNanos, boolean overdue,
			String route) {
		this(id, requestClass, caller, deadlineNanos, overdue, route, Urgency.UNKNOWN);
	}

	/**
	 * Creates a request of an unknown route.
	 * @param id a number that the daemon never reuses
	 * @param requestClass its priority and whether it may run twice
	 * @param caller the caller whose share it counts toward
	 * @param deadlineNanos when its caller stops waiting, in nanoseconds
	 * @param overdue whether it can't be answered within its target latency
	 */
	public PendingRequest(long id, RequestClass requestClass, CallerId caller, long deadlineNanos, boolean overdue) {
		this(id, requestClass, caller, deadlineNanos, overdue, "");
	}

	/**
	 * Creates a request that can still be answered within its target latency.
	 * @param id a number that the daemon never reuses
	 * @param requestClass its priority and whether it may run twice
	 * @param caller the caller whose share it counts toward
	 * @param deadlineNanos when its caller stops waiting, in nanoseconds
	 */
	public PendingRequest(long id, RequestClass requestClass, CallerId caller, long deadlineNanos) {
		this(id, requestClass, caller, deadlineNanos, false);
	}

	/**
	 * Returns whether the request is a return at its time that can still be answered
	 * within its target latency. An overdue return does not go before new requests: both
	 * would then be late.
	 * @return true if it goes before new requests of its class and rank
	 */
	boolean isPunctualReturn() {
		return this.origin.isOnTime() && !this.overdue;
	}

}
