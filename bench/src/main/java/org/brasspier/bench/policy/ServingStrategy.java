package org.brasspier.bench.policy;

/**
 * What is tried: from an attempt's arrival at a daemon to its end.
 */
interface ServingStrategy {

	/**
	 * Takes an attempt that has arrived.
	 * @param attempt the attempt
	 */
	void onArrival(Attempt attempt);

	/**
	 * Hears that an attempt's caller has stopped waiting.
	 * @param attempt the attempt
	 */
	void onCallerTimeout(Attempt attempt);

	/**
	 * When a refused caller sends again.
	 * @param retryAfterNanos what the refusal said
	 * @return the pause, negative if it does not
	 */
	long resendDelayNanos(long retryAfterNanos);

	/**
	 * Whether callers send again what timed out or broke, whatever it is.
	 * @return true for the naive version
	 */
	boolean resendsEveryFailure();

	/**
	 * What moved so far.
	 * @return the account
	 */
	Churn churn();

}
