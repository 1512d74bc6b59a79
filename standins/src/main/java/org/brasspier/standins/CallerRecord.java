package org.brasspier.standins;

import java.util.List;

/**
 * A caller's record of one request. Immutable and thread-safe.
 *
 * @param request the request
 * @param attempts its attempts, oldest first
 */
public record CallerRecord(StandInRequest request, List<Attempt> attempts) {

	/**
	 * Copies the list.
	 */
	public CallerRecord {
		attempts = List.copyOf(attempts);
	}

	/**
	 * Returns how the request ended.
	 * @return answered, refused with the certainty that it did not run, or failed
	 */
	public Outcome outcome() {
		if (this.attempts.isEmpty()) {
			return Outcome.REFUSED;
		}
		if (lastAttempt().answered()) {
			return Outcome.ANSWERED;
		}
		return (this.attempts.stream().allMatch(Attempt::notRun)) ? Outcome.REFUSED : Outcome.FAILED;
	}

	/**
	 * Returns the last attempt.
	 * @return the attempt
	 */
	public Attempt lastAttempt() {
		return this.attempts.getLast();
	}

	/**
	 * How a request ended for its caller.
	 */
	public enum Outcome {

		/** It was answered by a backend server. */
		ANSWERED,

		/** It was refused and certainly did not run. */
		REFUSED,

		/** It ended without an answer that says whether it ran. */
		FAILED

	}

}
