package org.brasspier.core.keys;

/**
 * A set of connections that are known to lead to the same process at a backend server's
 * address. Which incarnation that is may be unknown: heartbeats can arrive late.
 * Immutable and thread-safe.
 *
 * @param number increases with each session of a daemon's process, and is positive
 * @param heardFrom whether a heartbeat of the backend server has arrived since the
 * session began
 */
public record ServerSession(long number, boolean heardFrom) {

	/**
	 * Checks the number.
	 * @throws IllegalArgumentException if it is not positive
	 */
	public ServerSession {
		if (number <= 0) {
			throw new IllegalArgumentException("the number of a session must be positive, not " + number);
		}
	}

}
