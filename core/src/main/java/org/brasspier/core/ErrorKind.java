package org.brasspier.core;

/**
 * The closed list of errors, each with the answer it gets. docs/API.md has the same table
 * for callers; a test holds the two equal.
 */
public enum ErrorKind {

	/** The request lacks something or carries something malformed. */
	BAD_REQUEST(400, Ran.NOT_RUN, 2),

	/** The secret or its proof is wrong or missing. */
	UNAUTHORIZED(401, Ran.NOT_RUN, 3),

	/** No such service is configured. */
	UNKNOWN_SERVICE(404, Ran.NOT_RUN, 4),

	/** The body is larger than the limit. */
	BODY_TOO_LARGE(413, Ran.NOT_RUN, 2),

	/** The head of the request is larger than the limit. */
	HEAD_TOO_LARGE(431, Ran.NOT_RUN, 2),

	/** The request did not come whole in time. */
	REQUEST_TIMEOUT(408, Ran.NOT_RUN, 7),

	/** No route of the configuration takes the request. */
	NO_ROUTE(404, Ran.NOT_RUN, 4),

	/** No configuration is known yet. */
	NO_CONFIGURATION(503, Ran.NOT_RUN, 6),

	/** A posting came without a ticket; the answer carries one. */
	TICKET_REQUIRED(428, Ran.NOT_RUN, 2),

	/** The same request id is being run now. */
	IN_PROGRESS(409, Ran.UNKNOWN, 5),

	/** The request id was seen with other contents. */
	ID_REUSED(422, Ran.NOT_RUN, 2),

	/** The queue or the caller's share is full, or the deadline can't be met. */
	OVERLOADED(503, Ran.NOT_RUN, 6),

	/** No slot is free, and the request was not to wait for one. */
	NO_FREE_SLOT(503, Ran.NOT_RUN, 6),

	/** Nobody holds the range just now. */
	NO_OWNER(503, Ran.NOT_RUN, 6),

	/** This daemon does not hold the range; the answer names who does. */
	NOT_OWNER(421, Ran.NOT_RUN, 6),

	/** The service has no backend server that can take the request. */
	NO_BACKEND(503, Ran.NOT_RUN, 6),

	/** The deadline passed before the request was handed to a backend server. */
	DEADLINE_PASSED(504, Ran.NOT_RUN, 7),

	/** The deadline passed while the request ran. */
	TIMED_OUT(504, Ran.UNKNOWN, 7),

	/** The connection to the backend server or the owner broke while the request ran. */
	OUTCOME_UNKNOWN(502, Ran.UNKNOWN, 8),

	/** The backend server answered with something that is not HTTP or was cut short. */
	BAD_ANSWER(502, Ran.UNKNOWN, 8),

	/** An earlier owner may have run this posting; it was not run again. */
	POSSIBLY_RAN_BEFORE(409, Ran.UNKNOWN, 8),

	/** This request crashed backend servers and is kept away from the others. */
	CRASHED_BACKENDS(422, Ran.UNKNOWN, 9),

	/** The document has faults; the answer lists them all. */
	DOCUMENT_INVALID(422, Ran.NOT_RUN, 10),

	/** Another submission won; the answer shows what changed. */
	DOCUMENT_CONFLICT(409, Ran.NOT_RUN, 11),

	/** The platform's store did not answer; the write may have taken effect. */
	STORE_OUTCOME_UNKNOWN(503, Ran.UNKNOWN, 12),

	/** The platform's store is down or slow. */
	STORE_UNAVAILABLE(503, Ran.NOT_RUN, 12),

	/** Stored state is damaged or of a newer version. */
	STATE_UNREADABLE(500, Ran.NOT_RUN, 13),

	/** The operator's order does not fit the present state. */
	ORDER_REFUSED(409, Ran.NOT_RUN, 14),

	/** No daemon answered the command line tool; no daemon says this itself. */
	DAEMON_UNREACHABLE(503, Ran.UNKNOWN, 15),

	/** A fault in the daemon itself. */
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
	 * The HTTP status of the answer.
	 * @return the status code
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Whether the request ran.
	 * @return what the answer says of it
	 */
	public Ran ran() {
		return this.ran;
	}

	/**
	 * The exit code of the command line tool.
	 * @return 1 to 127
	 */
	public int exitCode() {
		return this.exitCode;
	}

}
