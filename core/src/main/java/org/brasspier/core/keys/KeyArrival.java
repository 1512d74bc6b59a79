package org.brasspier.core.keys;

import java.time.Duration;

/**
 * Decides how long a request may wait beside a backend server that does not hold its key
 * yet. While keys move, a refused call fails the request that made it, though the key
 * arrives with the answer to the next heartbeat. Stateless and thread-safe.
 */
public final class KeyArrival {

	/** A grant may be this much later than the heartbeat that is expected. */
	private static final Duration HEARTBEAT_SLACK = Duration.ofMillis(150);

	/**
	 * Time in which a holder usually releases keys and they arrive at the next one, if
	 * both send heartbeats about once per second.
	 */
	private static final Duration USUAL_MOVE = Duration.ofMillis(700);

	/** Part of the run time that is kept free for runs longer than the mean. */
	private static final double RUN_TIME_FACTOR = 1.5;

	private KeyArrival() {
	}

	/**
	 * Returns how long a request may wait for its key.
	 * @param expected when the server is expected to hold the key; zero if unknown
	 * because the key is moving
	 * @param remaining the time that the request has left
	 * @param run the mean run time of such a request
	 * @return zero if it could not be answered in time and must be refused at once
	 */
	public static Duration maxWait(Duration expected, Duration remaining, Duration run) {
		Duration spare = remaining.minusNanos((long) (run.toNanos() * RUN_TIME_FACTOR));
		if (spare.compareTo(expected) <= 0) {
			return Duration.ZERO;
		}
		Duration wanted = expected.isZero() ? USUAL_MOVE : expected.plus(HEARTBEAT_SLACK);
		return (spare.compareTo(wanted) < 0) ? spare : wanted;
	}

}
