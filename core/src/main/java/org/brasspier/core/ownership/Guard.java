package org.brasspier.core.ownership;

/**
 * The guards that ensure a single owner for each range. For each guard, a test disables
 * it and must then find a violation, so that no guard is redundant; docs/DESIGN.md lists
 * the guards with their tests.
 */
enum Guard {

	/**
	 * A lease starts when the member sent the heartbeat, not when the renewal arrived.
	 */
	LEASE_FROM_SENDING,

	/** A member whose lease has expired holds nothing until it knows a newer row. */
	LAPSE_DROPS_ALL,

	/**
	 * A member ignores renewals of an epoch older than the one that it has acknowledged.
	 */
	OWN_EPOCH_OR_LATER,

	/** A renewal does not last longer than the lease manager's authority. */
	RENEWAL_WITHIN_AUTHORITY,

	/** A lease manager stops confirming its peer before it replaces it. */
	STOP_CONFIRMING_FIRST,

	/**
	 * A lease manager that may have replaced its peer ignores further confirmations from
	 * it: its write may be in force, and successors that it does not know may be waiting
	 * for its authority to end.
	 */
	UNCONFIRMED_AFTER_REPLACING,

	/** A lease manager's own lease is renewed only by the other manager. */
	MANAGER_RENEWED_BY_PEER,

	/**
	 * Ranges of a silent member are reassigned only after the other manager has promised
	 * not to renew it.
	 */
	PROMISE_OF_PEER,

	/**
	 * A promise counts only if it answers a beat that was sent after the revocation
	 * began.
	 */
	PROMISE_IS_FRESH,

	/**
	 * Ranges of a silent member are reassigned only after its last renewal has expired.
	 */
	RENEWALS_RUN_OUT,

	/**
	 * Ranges of a member that has not acknowledged the epoch are reassigned only after
	 * the authority of earlier managers has ended.
	 */
	OLD_AUTHORITY_ENDS,

	/**
	 * After a takeover by a third member, ranges are reassigned only once the former
	 * manager pair is known to have ended.
	 */
	OLD_PAIR_CLOSED,

	/** A write is announced only after it was acknowledged or read back. */
	TOLD_AFTER_WRITTEN,

	/** A released range is never held again under the same fence. */
	RELEASED_FOR_GOOD,

	/** A restarted process counts as a different member. */
	INCARNATION_COUNTS,

	/** Waiting times include an allowance for clock drift. */
	DRIFT_ALLOWED

}
