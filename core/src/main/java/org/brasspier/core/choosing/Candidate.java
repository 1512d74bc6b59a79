package org.brasspier.core.choosing;

import java.time.Duration;
import java.util.OptionalDouble;

import org.brasspier.core.InstanceId;

/**
 * A backend server that may take a request. Immutable and thread-safe.
 *
 * @param instance its instance
 * @param roundTrip the round-trip time to its failure domain
 * @param slots how many requests it runs at once
 * @param warmShare the usable share of its capacity while it warms up, above 0 to 1
 * @param perSecond how many requests it takes in a second; empty if only its slots limit
 * them
 */
public record Candidate(InstanceId instance, Duration roundTrip, int slots, double warmShare,
		OptionalDouble perSecond) {

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	private static final double MIN_CONCURRENCY = 0.01;

	/**
	 * Creates a candidate that only its slots limit.
	 * @param instance its instance
	 * @param roundTrip the round-trip time to its failure domain
	 * @param slots how many requests it runs at once
	 * @param warmShare the usable share of its capacity while it warms up, above 0 to 1
	 */
	public Candidate(InstanceId instance, Duration roundTrip, int slots, double warmShare) {
		this(instance, roundTrip, slots, warmShare, OptionalDouble.empty());
	}

	/**
	 * Returns how many requests it can run at once.
	 * @param runNanos how long a request usually runs, in nanoseconds
	 * @return above 0, at most the slots
	 */
	double concurrency(double runNanos) {
		double usable = this.slots * this.warmShare;
		double limited = this.perSecond.orElse(Double.MAX_VALUE) * runNanos / NANOS_PER_SECOND;
		return Math.max(MIN_CONCURRENCY, Math.min(usable, limited));
	}

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
