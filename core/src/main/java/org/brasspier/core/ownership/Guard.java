package org.brasspier.core.ownership;

/**
 * The guards that sole ownership rests on. A test switches each one off and must then
 * find two owners, so none is there in vain; docs/DESIGN.md lists them with the test.
 */
enum Guard {

	/** A lease counts from when the member sent the heartbeat. */
	LEASE_FROM_SENDING,

	/** A member whose lease has run out holds nothing before it knows a newer row. */
	LAPSE_DROPS_ALL,

	/** A member takes no renewal of an epoch older than the one it acknowledged. */
	OWN_EPOCH_OR_LATER,

	/** A renewal ends with the lease manager's authority. */
	RENEWAL_WITHIN_AUTHORITY,

	/** A lease manager stops confirming its peer before it replaces it. */
	STOP_CONFIRMING_FIRST,

	/**
	 * A lease manager that may have replaced its peer takes no confirmation from it any
	 * more: its write may be in force, and successors it doesn't know wait for its
	 * authority.
	 */
	UNCONFIRMED_AFTER_REPLACING,

	/** A lease manager's own lease is renewed by the other one only. */
	MANAGER_RENEWED_BY_PEER,

	/** Ranges of a silent member wait for the other manager's promise. */
	PROMISE_OF_PEER,

	/** A promise counts only if it answers a beat sent since the revocation began. */
	PROMISE_IS_FRESH,

	/** Ranges of a silent member wait for the last renewal to run out. */
	RENEWALS_RUN_OUT,

	/** Who has not acknowledged the epoch waits for the authority of old managers. */
	OLD_AUTHORITY_ENDS,

	/** After a third member's takeover, the old pair must be known to have ended. */
	OLD_PAIR_CLOSED,

	/** Nobody is told of a write before it is acknowledged or read back. */
	TOLD_AFTER_WRITTEN,

	/** A range that was let go of is never held again under the same fence. */
	RELEASED_FOR_GOOD,

	/** A restarted process is another member. */
	INCARNATION_COUNTS,

	/** Waits allow for clocks that run differently. */
	DRIFT_ALLOWED

}
