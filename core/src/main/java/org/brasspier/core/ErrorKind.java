package org.brasspier.core;

/**
 * All errors that a request can end with, each with its HTTP status, whether the request
 * was run, and the exit code of the command line tool. docs/API.md has the same table for
 * callers; a test checks that the two are equal.
 */
public enum ErrorKind {

	/** A required part of the request is missing, or a part is malformed. */
	BAD_REQUEST(400, Ran.NOT_RUN, 2),

	/** The secret or its proof is wrong or missing. */
	UNAUTHORIZED(401, Ran.NOT_RUN, 3),

	/** No such service is configured. */
	UNKNOWN_SERVICE(404, Ran.NOT_RUN, 4),

	/** The body is larger than the limit. */
	BODY_TOO_LARGE(413, Ran.NOT_RUN, 2),

	/** The head of the request is larger than the limit. */
	HEAD_TOO_LARGE(431, Ran.NOT_RUN, 2),

	/** The request was not received completely in time. */
	REQUEST_TIMEOUT(408, Ran.NOT_RUN, 7),

	/** No route of the configuration matches the request. */
	NO_ROUTE(404, Ran.NOT_RUN, 4),

	/** No configuration is known yet. */
	NO_CONFIGURATION(503, Ran.NOT_RUN, 6),

	/** A posting was sent without a ticket; the response contains one. */
	TICKET_REQUIRED(428, Ran.NOT_RUN, 2),

	/** A request with the same id is running. */
	IN_PROGRESS(409, Ran.UNKNOWN, 5),

	/** The request id was already used with other contents. */
	ID_REUSED(422, Ran.NOT_RUN, 2),

	/** The queue or the caller's share is full, or the deadline can't be met. */
	OVERLOADED(503, Ran.NOT_RUN, 6),

	/** No slot is free, and the request may not wait for one. */
	NO_FREE_SLOT(503, Ran.NOT_RUN, 6),

	/** The range has no owner at present. */
	NO_OWNER(503, Ran.NOT_RUN, 6),

	/** This daemon does not own the range; the response names the owner. */
	NOT_OWNER(421, Ran.NOT_RUN, 6),

	/** The service has no backend server that can run the request. */
	NO_BACKEND(503, Ran.NOT_RUN, 6),

	/** The deadline passed before the request was sent to a backend server. */
	DEADLINE_PASSED(504, Ran.NOT_RUN, 7),

	/** The deadline passed while the request ran. */
	TIMED_OUT(504, Ran.UNKNOWN, 7),

	/**
	 * The connection to the backend server or the owner was lost while the request ran.
	 */
	OUTCOME_UNKNOWN(502, Ran.UNKNOWN, 8),

	/**
	 * The response of the backend server is not HTTP, is truncated, or has a status that
	 * promises that the request was not run although it was.
	 */
	BAD_ANSWER(502, Ran.UNKNOWN, 8),

	/** An earlier owner may have run this posting; it was not run again. */
	POSSIBLY_RAN_BEFORE(409, Ran.UNKNOWN, 8),

	/** This request crashed backend servers and is not sent to the others. */
	CRASHED_BACKENDS(422, Ran.UNKNOWN, 9),

	/** The document has faults; the response lists all of them. */
	DOCUMENT_INVALID(422, Ran.NOT_RUN, 10),

	/** Another submission was accepted first; the response shows what changed. */
	DOCUMENT_CONFLICT(409, Ran.NOT_RUN, 11),

	/** The platform's store did not answer; the write may have taken effect. */
	STORE_OUTCOME_UNKNOWN(503, Ran.UNKNOWN, 12),

	/** The platform's store is down or slow. */
	STORE_UNAVAILABLE(503, Ran.NOT_RUN, 12),

	/** Stored state is corrupt or written by a newer version. */
	STATE_UNREADABLE(500, Ran.NOT_RUN, 13),

	/** The operator's order is not possible in the current state. */
	ORDER_REFUSED(409, Ran.NOT_RUN, 14),

	/**
	 * No daemon answered the command line tool. Only the tool reports this error, never a
	 * daemon.
	 */
	DAEMON_UNREACHABLE(503, Ran.UNKNOWN, 15),

	/** An internal fault of the daemon. */
	INTERNAL_ERROR(500, Ran.UNKNOWN, 1);

	private final int status;

	private final Ran ran;

	private final int exitCode;

	ErrorKind(int status, Ran ran, int exitCode) {
		this.status = status;
		this.ran = ran;
		this.exitCode = exitCode;
	}

	/**
	 * Returns the HTTP status of the response.
	 * @return the status code
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns whether the request was run.
	 * @return what the response states about it
	 */
	public Ran ran() {
		return this.ran;
	}

	/**
	 * Returns the exit code of the command line tool.
	 * @return a code from 1 to 127
	 */
	public int exitCode() {
		return this.exitCode;
	}

}
