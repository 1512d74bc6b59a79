package org.brasspier.core.keys;

/**
 * How a backend server receives its grants. Immutable and thread-safe.
 */
public sealed interface GrantDelivery {

	/**
	 * Grants are part of the answer to each heartbeat; the next heartbeat reports
	 * releases.
	 */
	record InHeartbeats() implements GrantDelivery {
	}

	/**
	 * Each grant and each release is a separate call to the backend server.
	 */
	record ByCall() implements GrantDelivery {
	}

}
