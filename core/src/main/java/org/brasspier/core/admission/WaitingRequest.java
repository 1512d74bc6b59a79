package org.brasspier.core.admission;

import java.util.Comparator;

/**
 * A waiting request. Immutable.
 *
 * @param request the request
 * @param latestStartNanos when it is refused: its deadline minus its expected run time,
 * or the longest wait of its class, whichever is earlier
 */
record WaitingRequest(PendingRequest request, long latestStartNanos) {

	/** Orders requests by latest start time, the earliest first. */
	static final Comparator<WaitingRequest> BY_LATEST_START = Comparator.comparingLong(WaitingRequest::latestStartNanos)
		.thenComparingLong((waiting) -> waiting.request().id());

}
