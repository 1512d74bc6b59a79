package org.brasspier.standins;

/**
 * An invariant that the histories show to be violated. Immutable and thread-safe.
 *
 * @param invariant the violated invariant
 * @param detail the records that show it
 */
public record Violation(Invariant invariant, String detail) {

	/**
	 * The invariants that must always hold.
	 */
	public enum Invariant {

		/** A key has at most one owner at any time. */
		ONE_OWNER,

		/** No order begins under a fence that has been superseded by a higher one. */
		NO_STALE_FENCE,

		/** A posting runs at most once. */
		RUNS_ONCE,

		/** Each caller gets the complete answer to its own request. */
		OWN_ANSWER,

		/** A request that was answered has run. */
		ANSWERED_HAS_RUN,

		/** A request that was refused as not run did not run. */
		NOT_RUN_IS_TRUE,

		/** An assignment that was reported as in place is never reverted. */
		ASSIGNMENT_KEPT,

		/** A configuration that is in force is never replaced by an older one. */
		CONFIGURATION_KEPT

	}

}
