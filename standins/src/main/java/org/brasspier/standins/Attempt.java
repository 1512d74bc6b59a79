package org.brasspier.standins;

import java.net.InetSocketAddress;

/**
 * One sending of a request and what came of it, as the caller saw it. Immutable and
 * thread-safe.
 *
 * @param id the request id it was sent under
 * @param daemon where it was sent
 * @param sentMicros when it was sent, in microseconds since 1970
 * @param endMicros when it ended
 * @param status the answer's status, 0 if none came
 * @param ran {@code ran}, {@code not_run} or {@code unknown}; {@code unknown} as well if
 * no answer came, {@code not_run} if no connection could be opened
 * @param error the kind of error, empty if none was told
 * @param matchesRequest whether a 2xx answer was the whole answer to this very request
 * @param ticket the ticket that the answer carried, empty if none
 * @param retryAfterMillis when the answer says that a resend makes sense, 0 if it doesn't
 * say
 */
public record Attempt(String id, InetSocketAddress daemon, long sentMicros, long endMicros, int status, String ran,
		String error, boolean matchesRequest, String ticket, int retryAfterMillis) {

	/** Value of {@link #ran()}: it ran. */
	public static final String RAN = "ran";

	/** Value of {@link #ran()}: it certainly did not run. */
	public static final String NOT_RUN = "not_run";

	/** Value of {@link #ran()}: it may have run. */
	public static final String UNKNOWN = "unknown";

	/**
	 * Whether the request was answered by its backend server.
	 * @return true for a 2xx answer
	 */
	public boolean answered() {
		return this.status >= 200 && this.status < 300 && this.ran.equals(RAN);
	}

	/**
	 * Whether the answer says that the request did not run.
	 * @return true if it does
	 */
	public boolean notRun() {
		return this.ran.equals(NOT_RUN);
	}

}
