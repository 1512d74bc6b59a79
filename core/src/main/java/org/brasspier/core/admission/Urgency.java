package org.brasspier.core.admission;

/**
 * How urgent a request is among the waiting requests of its class. Immutable and
 * thread-safe.
 *
 * @param rank rank of its route, 0 is the most urgent
 * @param targetNanos target latency of its route, in nanoseconds; 0 if only that of its
 * class is known
 */
public record Urgency(int rank, long targetNanos) {

	/**
	 * The urgency of requests whose route is unknown. They are not overtaken, so requests
	 * of daemons of the previous build are served no later than before.
	 */
	public static final Urgency UNKNOWN = new Urgency(0, 0);

	/**
	 * Validates the target.
	 * @throws IllegalArgumentException if it is negative
	 */
	public Urgency {
		if (targetNanos < 0) {
			throw new IllegalArgumentException("targetNanos %d must not be negative".formatted(targetNanos));
		}
	}

	// Returns how long a request waits before it goes before newly arrived requests of
	// the next more urgent rank.
	long maxOvertakenNanos() {
		return this.targetNanos / 2;
	}

}
