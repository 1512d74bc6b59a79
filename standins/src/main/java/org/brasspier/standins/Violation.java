package org.brasspier.standins;

/**
 * A promise that the histories show broken. Immutable and thread-safe.
 *
 * @param invariant which promise
 * @param detail what shows it
 */
public record Violation(Invariant invariant, String detail) {

	/**
	 * What must always hold.
	 */
	public enum Invariant {

		/** A key has one owner at any moment. */
		ONE_OWNER,

		/** Nothing begins under a fence that a higher one has replaced. */
		NO_STALE_FENCE,

		/** A posting runs at most once. */
		RUNS_ONCE,

		/** Each caller gets the whole answer to its own request. */
		OWN_ANSWER,

		/** What is answered has run. */
		ANSWERED_HAS_RUN,

		/** What was refused as not run did not run. */
		NOT_RUN_IS_TRUE,

		/** An assignment that was told to be in place is never taken back. */
		ASSIGNMENT_KEPT,

		/** A configuration in force never reverts. */
		CONFIGURATION_KEPT

	}

}
