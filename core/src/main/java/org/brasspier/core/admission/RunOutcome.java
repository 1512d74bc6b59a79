package org.brasspier.core.admission;

/**
 * How a request's time on the backend server ended.
 */
public enum RunOutcome {

	/** The backend server answered. */
	ANSWERED,

	/** The backend server said that it shed the request; its time tells nothing. */
	SHED,

	/**
	 * It never began, for a reason that tells nothing of the backend server's load: the
	 * caller is gone, the deadline or the lease ran out, or the fence was refused.
	 */
	NOT_STARTED,

	/**
	 * It was cancelled, timed out or its connection broke; its time tells a lower bound.
	 */
	INTERRUPTED

}
