package org.brasspier.daemon.mesh;

/**
 * A message from a backend server to the daemon on its instance. Immutable and
 * thread-safe.
 */
public sealed interface BackendMessage {

	/**
	 * A heartbeat.
	 *
	 * @param heartbeat the heartbeat's contents
	 */
	record HeartbeatMessage(Heartbeat heartbeat) implements BackendMessage {
	}

	/**
	 * The backend server is about to stop. It still serves requests for a short time.
	 *
	 * @param backendId id of the backend server
	 */
	record Departure(String backendId) implements BackendMessage {
	}

}
