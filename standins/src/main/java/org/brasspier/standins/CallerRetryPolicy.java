package org.brasspier.standins;

/**
 * How callers wait and send again. Immutable and thread-safe.
 *
 * @param attemptTimeoutMillis how long a sending waits for its answer, so that a silent
 * connection costs no more, in milliseconds
 * @param maxPauseMillis the longest pause before a resend, whatever the answer says, in
 * milliseconds
 * @param maxAttempts how often a request is sent in all
 */
public record CallerRetryPolicy(int attemptTimeoutMillis, int maxPauseMillis, int maxAttempts) {

	/** Sends again and again until its time is over, which shows each gap in service. */
	public static final CallerRetryPolicy UNLIMITED = new CallerRetryPolicy(1000, 200, Integer.MAX_VALUE);

	/** As the callers of PolicyBench: three resends, each when it was told to. */
	public static final CallerRetryPolicy HONOR_RETRY_AFTER = new CallerRetryPolicy(5000, 10_000, 4);

}
