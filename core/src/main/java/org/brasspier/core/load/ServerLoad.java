package org.brasspier.core.load;

import java.time.Duration;

/**
 * The load of one backend server as its gate knows it at one moment. Immutable and
 * thread-safe.
 *
 * @param slots number of requests that the server runs at once, at least 1
 * @param running number of requests that it runs
 * @param waiting number of requests that wait at the gate
 * @param workLeft expected sum of the remaining run times of all running and waiting
 * requests, at the server's present speed
 * @param linkBacklog time that the instance's network link needs for the answers that are
 * waiting to be sent
 */
public record ServerLoad(int slots, int running, int waiting, Duration workLeft, Duration linkBacklog) {

	/**
	 * Validates the numbers.
	 * @throws IllegalArgumentException if one is out of its range
	 */
	public ServerLoad {
		if (slots < 1 || running < 0 || waiting < 0 || workLeft.isNegative() || linkBacklog.isNegative()) {
			throw new IllegalArgumentException(
					"slots %d must be at least 1, running %d, waiting %d, workLeft %s and linkBacklog %s not negative"
						.formatted(slots, running, waiting, workLeft, linkBacklog));
		}
	}

}
