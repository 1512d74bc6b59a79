package org.brasspier.core.keys;

import java.util.HashMap;
import java.util.Map;

import org.brasspier.core.InstanceId;

/**
 * What this process has promised to holders that name it as their deputy: not to take
 * their keys for a while. All times are nanoseconds of a clock that also runs while the
 * machine is suspended. Not thread-safe.
 */
public final class PromiseTracker {

	private final LeaseTiming timing;

	private final Map<InstanceId, Long> boundUntilNanos = new HashMap<>();

	private final Map<InstanceId, Long> attempted = new HashMap<>();

	/**
	 * Creates a book without promises.
	 * @param timing the times
	 */
	public PromiseTracker(LeaseTiming timing) {
		this.timing = timing;
	}

	/**
	 * Promises a holder to leave its keys alone. Refused once this process has tried to
	 * take them from the lease row that the holder goes by: the store may carry that
	 * write out seconds after it was sent, and only a newer row makes it fail.
	 * @param holder the holder
	 * @param rowVersion the version of its lease row as it knows it
	 * @param now the time
	 * @return whether it is promised
	 */
	public boolean promise(InstanceId holder, long rowVersion, long now) {
		Long tried = this.attempted.get(holder);
		if (tried != null && tried >= rowVersion) {
			return false;
		}
		this.boundUntilNanos.put(holder, now + this.timing.plusDrift(this.timing.promise().toNanos()));
		return true;
	}

	/**
	 * Takes that a holder needs no promise any more: it grants nothing.
	 * @param holder the holder
	 */
	public void release(InstanceId holder) {
		this.boundUntilNanos.remove(holder);
	}

	/**
	 * Whether a promise to a holder is in force.
	 * @param holder the holder
	 * @param now the time
	 * @return true if its keys must be left alone
	 */
	public boolean isBound(InstanceId holder, long now) {
		Long until = this.boundUntilNanos.get(holder);
		return until != null && now - until < 0;
	}

	/**
	 * Takes that a write is about to be sent that takes a holder's keys.
	 * @param holder the holder
	 * @param rowVersion the version of its lease row that the write names
	 */
	public void recordTakeoverAttempt(InstanceId holder, long rowVersion) {
		this.attempted.merge(holder, rowVersion, Math::max);
	}

}
