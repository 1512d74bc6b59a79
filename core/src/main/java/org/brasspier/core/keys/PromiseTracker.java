package org.brasspier.core.keys;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.brasspier.core.InstanceId;

/**
 * Tracks the promises of this process, as a deputy, to holders: not to take their keys
 * for some time. All times are nanoseconds of a clock that also runs while the machine is
 * suspended. Not thread-safe.
 */
public final class PromiseTracker {

	private final LeaseTiming timing;

	private final Map<InstanceId, Promised> promised = new HashMap<>();

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
	 * @param mark identifies the promise; empty if the holder is of an earlier build
	 * @param now the current time, in nanoseconds
	 * @return whether the promise was given
	 */
	public boolean promise(InstanceId holder, long rowVersion, Optional<PromiseMark> mark, long now) {
		Long tried = this.attemptedVersions.get(holder);
		if (tried != null && tried >= rowVersion) {
			return false;
		}
		this.promised.put(holder, new Promised(now + this.timing.plusDrift(this.timing.promise().toNanos()), mark));
		return true;
	}

	/**
	 * Withdraws the promise to a holder that grants nothing any more, unless the holder
	 * has asked for it later.
	 * @param holder the holder
	 * @param mark when the holder withdrew it; empty if it is of an earlier build
	 */
	public void release(InstanceId holder, Optional<PromiseMark> mark) {
		Promised latest = this.promised.get(holder);
		boolean later = latest != null && mark.isPresent()
				&& latest.mark.filter((asked) -> !mark.get().covers(asked)).isPresent();
		if (!later) {
			this.promised.remove(holder);
		}
	}

	/**
	 * Returns whether a promise to a holder is in force.
	 * @param holder the holder
	 * @param now the current time, in nanoseconds
	 * @return true if this process must not take its keys
	 */
	public boolean isBound(InstanceId holder, long now) {
		Promised latest = this.promised.get(holder);
		return latest != null && now - latest.untilNanos < 0;
	}

	/**
	 * Records that a write that takes a holder's keys is about to be sent.
	 * @param holder the holder
	 * @param rowVersion the version of its lease row on which the write is conditional
	 */
	public void recordTakeoverAttempt(InstanceId holder, long rowVersion) {
		this.attemptedVersions.merge(holder, rowVersion, Math::max);
	}

	private record Promised(long untilNanos, Optional<PromiseMark> mark) {
	}

}
