package org.brasspier.standins;

import java.util.List;

/**
 * All that a caller knows of one request. Immutable and thread-safe.
 *
 * @param request the request
 * @param attempts its sendings, oldest first
 */
public record CallerRecord(StandInRequest request, List<Attempt> attempts) {

	/**
	 * Copies the list.
	 */
	public CallerRecord {
		attempts = List.copyOf(attempts);
	}

	/**
	 * How it ended.
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
	 * The last sending.
	 * @return what came of it
	 */
	public Attempt lastAttempt() {
		return this.attempts.getLast();
	}

	/**
	 * How a request ended for its caller.
	 */
	public enum Outcome {

		/** With its backend server's answer. */
		ANSWERED,

		/** Turned away, and it certainly did not run. */
		REFUSED,

		/** Without an answer that says what became of it. */
		FAILED

	}

}
