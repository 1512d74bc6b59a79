package org.brasspier.core.keys;

import java.time.Duration;

/**
 * Durations of leases, grants and promises. Immutable and thread-safe.
 *
 * @param lease how long an instance may grant keys after sending the renewal of its lease
 * @param renewalInterval the interval between renewals
 * @param hold how long a backend server may hold keys after sending the heartbeat whose
 * answer granted them; also limited by the lease
 * @param promise how long a deputy promises not to take a holder's keys
 * @param drift the largest relative difference between the rates of two clocks
 */
public record LeaseTiming(Duration lease, Duration renewalInterval, Duration hold, Duration promise, double drift) {

	/**
	 * A lease of ten seconds, renewed every two seconds, outlasts a store outage of eight
	 * seconds. A hold of four seconds outlasts a daemon restart, which takes two seconds,
	 * and three lost heartbeats; the keys of a silent backend server are free after four
	 * seconds. A promise is as long as a hold, since a shorter one would shorten holds;
	 * the keys of a lost instance are therefore free after four seconds as well. Clocks
	 * of backend servers may run up to 2 % slow.
	 */
	public static final LeaseTiming DEFAULT = new LeaseTiming(Duration.ofSeconds(10), Duration.ofSeconds(2),
			Duration.ofSeconds(4), Duration.ofSeconds(4), 0.02);

	/**
	 * Checks the durations.
	 * @throws IllegalArgumentException if they are inconsistent
	 */
	public LeaseTiming {
		if (!promise.isPositive() || promise.compareTo(lease) > 0) {
			throw new IllegalArgumentException(
					"promise %s must be positive and no longer than lease %s".formatted(promise, lease));
		}
		if (!hold.isPositive() || hold.compareTo(lease) > 0 || !renewalInterval.isPositive()
				|| renewalInterval.compareTo(lease) >= 0 || drift < 0 || drift > 0.1) {
			throw new IllegalArgumentException(
					"hold %s must be positive and no longer than lease %s, renewal %s shorter than it, drift %s 0 to 0.1"
						.formatted(hold, lease, renewalInterval, drift));
		}
	}

	/**
	 * Returns these durations with the platform's limit on holds.
	 * @param maxHold the longest hold that backend servers accept
	 * @return durations with a hold and a promise no longer than the limit
	 */
	public LeaseTiming withMaxHold(Duration maxHold) {
		boolean shorter = maxHold.compareTo(this.hold) < 0;
		return shorter ? new LeaseTiming(this.lease, this.renewalInterval, maxHold, maxHold, this.drift) : this;
	}

	/**
	 * Returns the longest time that a granted duration may last by another clock.
	 * @param nanos the granted duration, in nanoseconds
	 * @return the duration plus drift, in nanoseconds
	 */
	public long plusDrift(long nanos) {
		return (long) Math.ceil(nanos * (1 + this.drift));
	}

	/**
	 * Returns the longest duration that may be granted so that it ends within a given
	 * time by any clock.
	 * @param nanos the given time, in nanoseconds
	 * @return the duration without drift, in nanoseconds
	 */
	public long minusDrift(long nanos) {
		return (long) Math.floor(nanos / (1 + this.drift));
	}

}
