package org.brasspier.standins;

/**
 * Time-outs and retries of callers. Immutable and thread-safe.
 *
 * @param attemptTimeoutMillis how long one attempt waits for its answer, in milliseconds;
 * bounds the time that a silent connection costs
 * @param maxPauseMillis longest pause before a resend, in milliseconds, also if the
 * answer asks for a longer one
 * @param maxAttempts how often a request is sent in total
 */
public record CallerRetryPolicy(int attemptTimeoutMillis, int maxPauseMillis, int maxAttempts) {

	/**
	 * Resends until the request's time limit is reached, which shows each gap in service.
	 */
	public static final CallerRetryPolicy UNLIMITED = new CallerRetryPolicy(1000, 200, Integer.MAX_VALUE);

	/**
	 * Like the callers of PolicyBench: three resends, each after the pause that the
	 * answer asks for.
	 */
	public static final CallerRetryPolicy HONOR_RETRY_AFTER = new CallerRetryPolicy(5000, 10_000, 4);

}
