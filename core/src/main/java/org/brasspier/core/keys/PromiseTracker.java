package org.brasspier.core.keys;

import java.util.HashMap;
import java.util.Map;

import org.brasspier.core.InstanceId;

/**
 * Tracks the promises of this process, as a deputy, to holders: not to take their keys
 * for some time. All times are nanoseconds of a clock that also runs while the machine is
 * suspended. Not thread-safe.
 */
public final class PromiseTracker {

	private final LeaseTiming timing;

	private final Map<InstanceId, Long> boundUntilNanos = new HashMap<>();

	private final Map<InstanceId, Long> attemptedVersions = new HashMap<>();

	/**
	 * Creates a tracker without promises.
	 * @param timing the lease and promise durations
	 */
	public PromiseTracker(LeaseTiming timing) {
		this.timing = timing;
	}

	/**
	 * Promises a holder not to take its keys. Refused once this process has tried to take
	 * them at the holder's lease row version: the store may apply that write seconds
	 * after it was sent, and only a newer row makes it fail.
	 * @param holder the holder
	 * @param rowVersion the version of its lease row as known to the holder
	 * @param now the current time, in nanoseconds
	 * @return whether the promise was given
	 */
	public boolean promise(InstanceId holder, long rowVersion, long now) {
		Long tried = this.attemptedVersions.get(holder);
		if (tried != null && tried >= rowVersion) {
			return false;
		}
		this.boundUntilNanos.put(holder, now + this.timing.plusDrift(this.timing.promise().toNanos()));
		return true;
	}

	/**
	 * Withdraws the promise to a holder that grants nothing any more.
	 * @param holder the holder
	 */
	public void release(InstanceId holder) {
		this.boundUntilNanos.remove(holder);
	}

	/**
	 * Returns whether a promise to a holder is in force.
	 * @param holder the holder
	 * @param now the current time, in nanoseconds
	 * @return true if this process must not take its keys
	 */
	public boolean isBound(InstanceId holder, long now) {
		Long until = this.boundUntilNanos.get(holder);
		return until != null && now - until < 0;
	}

	/**
	 * Records that a write that takes a holder's keys is about to be sent.
	 * @param holder the holder
	 * @param rowVersion the version of its lease row on which the write is conditional
	 */
	public void recordTakeoverAttempt(InstanceId holder, long rowVersion) {
		this.attemptedVersions.merge(holder, rowVersion, Math::max);
	}

}
