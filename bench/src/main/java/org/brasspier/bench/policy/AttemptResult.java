package org.brasspier.bench.policy;

import org.brasspier.core.Failure;

/**
 * The result of an attempt at a backend server.
 */
sealed interface AttemptResult {

	/**
	 * The request ran and was answered.
	 *
	 * @param runNanos how long it occupied a slot
	 */
	record Answered(long runNanos) implements AttemptResult {

	}

	/**
	 * The request was refused or interrupted.
	 *
	 * @param failure the error returned to the caller
	 */
	record Failed(Failure failure) implements AttemptResult {

	}

}
