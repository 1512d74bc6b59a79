package org.brasspier.daemon.mesh;

/**
 * What a backend server tells the daemon beside it. Immutable and thread-safe.
 */
public sealed interface BackendMessage {

	/**
	 * It is there.
	 *
	 * @param heartbeat what it says of itself
	 */
	record HeartbeatMessage(Heartbeat heartbeat) implements BackendMessage {
	}

	/**
	 * It leaves, and serves on for a moment.
	 *
	 * @param backendId its id
	 */
	record Departure(String backendId) implements BackendMessage {
	}

}
