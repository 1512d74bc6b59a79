package org.brasspier.core.ownership;

/**
 * The phase that a member announces.
 */
public enum MemberPhase {

	/** Has no backend server that may own ranges. */
	WAITING,

	/** Its backend server may own its full share. */
	ACTIVE,

	/** Its backend server is leaving or gone; its ranges must move away. */
	DRAINING,

	/** The daemon itself is leaving; it must not manage leases either. */
	LEAVING

}
