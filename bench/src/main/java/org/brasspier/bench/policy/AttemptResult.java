package org.brasspier.bench.policy;

import org.brasspier.core.Failure;

/**
 * How an attempt ended at a backend server.
 */
sealed interface AttemptResult {

	/**
	 * It ran and was answered.
	 *
	 * @param runNanos how long it held a slot
	 */
	record Answered(long runNanos) implements AttemptResult {

	}

	/**
	 * It was refused or cut off.
	 *
	 * @param failure what the caller is told
	 */
	record Failed(Failure failure) implements AttemptResult {

	}

}
