package org.brasspier.core.keys;

/**
 * A time in which all calls to a backend server's address reach the same process, because
 * connections to it are open without a gap. Which incarnation that is may be unknown:
 * heartbeats can arrive late. Immutable and thread-safe.
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
