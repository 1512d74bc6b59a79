package org.brasspier.core.admission;

import java.util.Comparator;

/**
 * A request that waits. Immutable.
 *
 * @param request the request
 * @param latestStartNanos when it is given up: its deadline less the time that it needs,
 * or the longest wait of its class, whichever is first
 */
record WaitingRequest(PendingRequest request, long latestStartNanos) {

	/** Who must start first is first. */
	static final Comparator<WaitingRequest> BY_LATEST_START = Comparator.comparingLong(WaitingRequest::latestStartNanos)
		.thenComparingLong((waiting) -> waiting.request().id());

}
