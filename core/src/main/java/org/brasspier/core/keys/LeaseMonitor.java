package org.brasspier.core.keys;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.brasspier.core.InstanceId;

/**
 * Monitors the leases of other instances by their row versions. A lease has ended once
 * its row has shown the same version for longer than the lease duration, because the
 * renewal that created this version was sent before it was first seen. A takeover write
 * is conditional on that version, so a concurrent renewal makes it fail.
 * <p>
 * Where a row names this process as deputy, the promises to the holder are sufficient:
 * the holder grants nothing beyond them. No observation period is needed, and the keys of
 * a lost instance become free at the end of a promise instead of a lease. Not
 * thread-safe.
 */
public final class LeaseMonitor {

	/**
	 * Grace period after a store outage, in which no lease is considered ended, since no
	 * instance could renew: one renewal interval and the duration of a write. Without it,
	 * the first reader after an outage would take the keys of all other instances.
	 */
	private static final long GRACE_PERIOD_NANOS = Duration.ofSeconds(3).toNanos();

	/** Allowance for a slow answer of the store. */
	private static final long STORE_DELAY_NANOS = Duration.ofMillis(500).toNanos();

	private final LeaseTiming timing;

	private final Deputy self;

	private final PromiseTracker promises;

	private final Map<InstanceId, Observation> observed = new HashMap<>();

	private long latestReadNanos;

	private long graceEndNanos;

	private boolean hasRead;

	/**
	 * Creates a monitor without observations.
	 * @param timing the lease and promise durations
	 * @param self this process
	 * @param promises the promises of this process
	 */
	public LeaseMonitor(LeaseTiming timing, Deputy self, PromiseTracker promises) {
		this.timing = timing;
		this.self = self;
		this.promises = promises;
	}

	/**
	 * Records the lease rows read from the store. A row that another instance wrote when
	 * it took the keys has a new version, but is no renewal: counting it as one would
	 * make a permanently lost instance a holder again for the duration of a lease.
	 * @param rows the row of each lease
	 * @param now when the answer arrived, in nanoseconds
	 */
	public void onRowsRead(Map<InstanceId, LeaseRow> rows, long now) {
		if (!this.hasRead || now - this.latestReadNanos > GRACE_PERIOD_NANOS) {
			this.graceEndNanos = now + GRACE_PERIOD_NANOS;
		}
		this.hasRead = true;
		this.latestReadNanos = now;
		this.observed.keySet().retainAll(rows.keySet());
		rows.forEach((instance, row) -> this.observed.merge(instance, new Observation(row, now),
				(before, after) -> (before.row.version() >= after.row.version()) ? before : after));
	}

	/**
	 * Returns whether an instance has a lease row.
	 * @param instance the instance
	 * @return true if the latest read showed one
	 */
	public boolean hasRow(InstanceId instance) {
		return this.observed.containsKey(instance);
	}

	/**
	 * Returns the row version of an instance's lease.
	 * @param instance the instance
	 * @return the version in the latest read; empty if there is no row
	 */
	public Optional<Long> rowVersion(InstanceId instance) {
		return Optional.ofNullable(this.observed.get(instance)).map((observed) -> observed.row.version());
	}

	/**
	 * Returns whether an instance has renewed its lease recently, so that it may receive
	 * keys and plan moves. An instance that can't reach the store may hold its keys for
	 * some seconds more, but doesn't learn that it was assigned new keys, so it must not
	 * plan. When such an instance planned moves, a full server kept its keys for 12
	 * seconds beside two idle ones.
	 * <p>
	 * No instance could renew shortly before the end of a store outage, and rows may
	 * still mark instances as ready that have left since. Therefore, during the grace
	 * period, only instances that have recently answered another daemon count. Without
	 * this rule, keys moved to an instance that had left and were unserved for four
	 * seconds.
	 * @param instance the instance
	 * @param heard whether it has recently reported that it can take keys
	 * @param now the current time, in nanoseconds
	 * @return false if it has no lease, its lease was taken, or it was not renewed for
	 * two intervals
	 */
	public boolean isRenewing(InstanceId instance, boolean heard, long now) {
		Observation row = this.observed.get(instance);
		if (row == null || row.row.taken() || releasedToDeputy(instance, row.row, now)) {
			return false;
		}
		return inGracePeriod(now) ? heard : unchangedNanos(row) <= maxUnchangedNanos();
	}

	/**
	 * Returns whether the store has only just started to answer, or resumed after an
	 * outage.
	 * @param now the current time, in nanoseconds
	 * @return true during the grace period
	 */
	public boolean inGracePeriod(long now) {
		return this.hasRead && now - this.graceEndNanos < 0;
	}

	// A row stays unchanged for one renewal interval, and is read as rarely.
	private long maxUnchangedNanos() {
		return this.timing.renewalInterval().toNanos() * 2 + STORE_DELAY_NANOS;
	}

	/**
	 * Returns the row version of an instance's lease if the lease has definitely ended.
	 * @param instance the instance
	 * @param now the current time, in nanoseconds
	 * @return the row version on which the takeover write must be conditional; 0 if there
	 * is no row; empty if the lease may still be in force
	 */
	public Optional<Long> endedRowVersion(InstanceId instance, long now) {
		Observation observed = this.observed.get(instance);
		if (observed != null && releasedToDeputy(instance, observed.row, now)) {
			return Optional.of(observed.row.version());
		}
		if (!this.hasRead || now - this.graceEndNanos < 0) {
			return Optional.empty();
		}
		if (observed == null) {
			return Optional.of(0L);
		}
		// Counts up to the latest read: time without any read proves nothing.
		boolean ended = observed.row.taken()
				|| unchangedNanos(observed) >= this.timing.plusDrift(this.timing.lease().toNanos());
		return ended ? Optional.of(observed.row.version()) : Optional.empty();
	}

	// The holder grants nothing beyond the promises of its named deputy.
	private boolean releasedToDeputy(InstanceId instance, LeaseRow row, long now) {
		return row.deputy().filter(this.self::equals).isPresent() && !this.promises.isBound(instance, now);
	}

	private long unchangedNanos(Observation observed) {
		return this.latestReadNanos - observed.sinceNanos;
	}

	/**
	 * Returns whether a lease may be about to end, so that more frequent reads are
	 * worthwhile.
	 * @param holders the holders to check
	 * @param now the current time, in nanoseconds
	 * @return true if a lease is unknown or was not renewed for two intervals, or if its
	 * holder has let this process's promise expire without requesting another
	 */
	public boolean anySuspect(Set<InstanceId> holders, long now) {
		return holders.stream().anyMatch((holder) -> {
			Observation observed = this.observed.get(holder);
			return observed == null || releasedToDeputy(holder, observed.row, now)
					|| (!observed.row.taken() && unchangedNanos(observed) > maxUnchangedNanos());
		});
	}

	private record Observation(LeaseRow row, long sinceNanos) {
	}

}
