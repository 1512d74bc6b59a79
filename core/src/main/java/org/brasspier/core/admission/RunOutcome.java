package org.brasspier.core.admission;

/**
 * How the run of a request on the backend server ended.
 */
public enum RunOutcome {

	/** The backend server answered. */
	ANSWERED,

	/** The backend server shed the request; its duration is not meaningful. */
	SHED,

	/**
	 * The request never started, for a reason unrelated to the backend server's load: the
	 * caller disconnected, the deadline or the lease ended, or the fence was refused.
	 */
	NOT_STARTED,

	/**
	 * The request was cancelled, timed out or lost its connection; its duration is only a
	 * lower bound of the full run time.
	 */
	INTERRUPTED

}
