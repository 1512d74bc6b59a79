package org.brasspier.core.keys;

import java.time.Duration;

/**
 * The times that leases and grants go by. Immutable and thread-safe.
 *
 * @param lease how long an instance may grant keys after it sent the renewal of its lease
 * @param renewalInterval how often it renews
 * @param hold how long a backend server may hold keys after it sent the heartbeat that
 * was answered with them; bounded by the lease as well
 * @param promise how long a deputy promises to leave a holder's keys alone
 * @param drift by how much clocks may run apart, as a share
 */
public record LeaseTiming(Duration lease, Duration renewalInterval, Duration hold, Duration promise, double drift) {

	/**
	 * A lease of ten seconds with a renewal each two outlasts an outage of the store of
	 * eight seconds. A hold of four seconds lasts through the restart of a daemon, which
	 * takes two, and through three lost heartbeats; a silent backend server's keys are
	 * free after four. A promise lasts as long as a hold, or it would cut holds short; so
	 * a lost instance's keys are free after four seconds, too. Clocks of backend servers
	 * may run 2 % slow.
	 */
	public static final LeaseTiming DEFAULT = new LeaseTiming(Duration.ofSeconds(10), Duration.ofSeconds(2),
			Duration.ofSeconds(4), Duration.ofSeconds(4), 0.02);

	/**
	 * Checks the times.
	 * @throws IllegalArgumentException if they don't fit each other
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
	 * These times where the platform bounds a hold.
	 * @param most the longest hold that backend servers accept
	 * @return times with a hold, and a promise, no longer than that
	 */
	public LeaseTiming withMaxHold(Duration most) {
		boolean shorter = most.compareTo(this.hold) < 0;
		return shorter ? new LeaseTiming(this.lease, this.renewalInterval, most, most, this.drift) : this;
	}

	/**
	 * The longest time that something granted for a while may last by another clock.
	 * @param nanos the time granted, in nanoseconds
	 * @return the time with the drift added, in nanoseconds
	 */
	public long plusDrift(long nanos) {
		return (long) Math.ceil(nanos * (1 + this.drift));
	}

	/**
	 * The longest time that may be granted so that it ends within a while by any clock.
	 * @param nanos the time it must end within, in nanoseconds
	 * @return the time without the drift, in nanoseconds
	 */
	public long minusDrift(long nanos) {
		return (long) Math.floor(nanos / (1 + this.drift));
	}

}
