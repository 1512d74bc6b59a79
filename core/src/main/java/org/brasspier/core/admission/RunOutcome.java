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
	 * The run says nothing about the backend server: the request never started, because
	 * the deadline or the lease ended or the fence was refused, or its caller
	 * disconnected at whatever time.
	 */
	NOT_STARTED,

	/**
	 * The request timed out or lost its connection; its duration is only a lower bound of
	 * the full run time.
	 */
	INTERRUPTED

}
