package org.brasspier.bench.policy;

/**
 * A strategy under comparison: handles an attempt from its arrival at a daemon to its
 * result.
 */
interface ServingStrategy {

	/**
	 * Handles an attempt that has arrived at its entry daemon.
	 * @param attempt the attempt
	 */
	void onArrival(Attempt attempt);

	/**
	 * Called when the caller of an attempt has stopped waiting.
	 * @param attempt the attempt
	 */
	void onCallerTimeout(Attempt attempt);

	/**
	 * Returns how long a refused caller waits before it sends the request again.
	 * @param retryAfterNanos the retry delay given in the refusal
	 * @return the delay
	 */
	long resendDelayNanos(long retryAfterNanos);

	/**
	 * Whether callers also resend requests that timed out or were interrupted, of any
	 * request class.
	 * @return true for the naive strategy
	 */
	boolean resendsEveryFailure();

	/**
	 * Returns the ownership changes so far.
	 * @return the ownership changes
	 */
	Churn churn();

}
