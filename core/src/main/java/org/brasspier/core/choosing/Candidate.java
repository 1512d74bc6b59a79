package org.brasspier.core.choosing;

import java.time.Duration;

import org.brasspier.core.InstanceId;

/**
 * A backend server that may take a request. Immutable and thread-safe.
 *
 * @param instance its instance
 * @param roundTrip the round-trip time to its failure domain
 * @param slots how many requests it runs at once
 * @param warmShare the usable share of its capacity while it warms up, above 0 to 1
 */
public record Candidate(InstanceId instance, Duration roundTrip, int slots, double warmShare) {

	/**
	 * Checks the numbers.
	 * @throws IllegalArgumentException if one is out of its range
	 */
	public Candidate {
		if (roundTrip.isNegative() || slots < 1 || !(warmShare > 0 && warmShare <= 1)) {
			throw new IllegalArgumentException(
					"roundTrip %s must not be negative, slots %d at least 1, warmShare %s above 0 to 1"
						.formatted(roundTrip, slots, warmShare));
		}
	}

}
