package org.brasspier.standins;

import java.net.InetSocketAddress;

/**
 * One attempt to send a request and its outcome, as the caller saw it. Immutable and
 * thread-safe.
 *
 * @param id the request id it was sent under
 * @param daemon address of the daemon that it was sent to
 * @param sentMicros when it was sent, in microseconds since 1970
 * @param endMicros when it ended
 * @param status the answer's status, 0 if none came
 * @param ran {@code ran}, {@code not_run} or {@code unknown}; {@code unknown} as well if
 * no answer came, {@code not_run} if no connection could be opened
 * @param error the kind of error, empty if the answer has none
 * @param matchesRequest whether a 2xx answer was the complete answer to this request
 * @param ticket the ticket that the answer carried, empty if none
 * @param retryAfterMillis pause before a resend that the answer asks for, 0 if none
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
