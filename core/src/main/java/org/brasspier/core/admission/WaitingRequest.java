package org.brasspier.core.admission;

import java.util.Comparator;

/**
 * A waiting request. Immutable.
 *
 * @param request the request
 * @param latestStartNanos when it is refused: its deadline minus its expected run time,
 * or the longest wait of its class, whichever is earlier
 * @param sinceNanos when it was queued
 */
record WaitingRequest(PendingRequest request, long latestStartNanos, long sinceNanos) {

	/** Puts on-time returns, whose callers have waited before, first. */
	static final Comparator<WaitingRequest> BY_PRECEDENCE = Comparator
		.comparing((waiting) -> !waiting.request().isPunctualReturn());

	/**
	 * Orders requests by precedence, then by latest start time, the earliest first.
	 */
	static final Comparator<WaitingRequest> BY_LATEST_START = BY_PRECEDENCE
		.thenComparingLong(WaitingRequest::latestStartNanos)
		.thenComparingLong((waiting) -> waiting.request().id());

	// Returns whether at most half of the time is left for which the request may wait.
	boolean mustStartSoon(long now) {
		return now - this.sinceNanos >= (this.latestStartNanos - this.sinceNanos) / 2;
	}

}
