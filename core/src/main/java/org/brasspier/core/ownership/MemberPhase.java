package org.brasspier.core.ownership;

/**
 * What a member says of itself.
 */
public enum MemberPhase {

	/** It has no backend server that may own ranges. */
	WAITING,

	/** Its backend server may own its full share. */
	ACTIVE,

	/** Its backend server is leaving or gone: what it owns must go. */
	DRAINING,

	/** The daemon itself is leaving: it must not manage leases either. */
	LEAVING

}
