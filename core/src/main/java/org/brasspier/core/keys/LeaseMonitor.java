package org.brasspier.core.keys;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.brasspier.core.InstanceId;

/**
 * Watches the leases of other instances by the versions of their rows. A lease has ended
 * once its row has shown the same version for longer than a lease lasts: the renewal that
 * made that version was sent before it was first seen. Whoever acts on that names the
 * version in its write, so a renewal that comes in between wins.
 * <p>
 * Where a row names this process as deputy, its promises to the holder are enough: the
 * holder grants nothing beyond them. So nothing needs to be watched for, and the keys of
 * a lost instance wait for a promise's end rather than for a lease's. Not thread-safe.
 */
public final class LeaseMonitor {

	/**
	 * Nobody could renew while the store was away, so nobody is taken for lost as it
	 * returns: one renewal interval and the way of a write pass first. Without this, the
	 * first reader after an outage would take all keys of everyone else.
	 */
	private static final long GRACE_NANOS = Duration.ofSeconds(3).toNanos();

	/** For a slow answer of the store. */
	private static final long SLACK_NANOS = Duration.ofMillis(500).toNanos();

	private final LeaseTiming timing;

	private final Deputy self;

	private final PromiseTracker promises;

	private final Map<InstanceId, Seen> seen = new HashMap<>();

	private long latestLookNanos;

	private long notBeforeNanos;

	private boolean looked;

	/**
	 * Creates a watch that has seen nothing.
	 * @param timing the times
	 * @param self this process
	 * @param promises what it has promised
	 */
	public LeaseMonitor(LeaseTiming timing, Deputy self, PromiseTracker promises) {
		this.timing = timing;
		this.self = self;
		this.promises = promises;
	}

	/**
	 * Takes what the store showed. A row that another instance wrote as it took the keys
	 * has a new version, but nobody renewed: counted as a renewal, it would make an
	 * instance that is lost for good a holder again for as long as a lease.
	 * @param rows each lease's row
	 * @param now when the answer came
	 */
	public void onRowsRead(Map<InstanceId, LeaseRow> rows, long now) {
		if (!this.looked || now - this.latestLookNanos > GRACE_NANOS) {
			this.notBeforeNanos = now + GRACE_NANOS;
		}
		this.looked = true;
		this.latestLookNanos = now;
		this.seen.keySet().retainAll(rows.keySet());
		rows.forEach((instance, row) -> this.seen.merge(instance, new Seen(row, now),
				(before, after) -> (before.row.version() >= after.row.version()) ? before : after));
	}

	/**
	 * Whether an instance has a lease's row.
	 * @param instance the instance
	 * @return true if the latest look showed one
	 */
	public boolean hasRow(InstanceId instance) {
		return this.seen.containsKey(instance);
	}

	/**
	 * The version of an instance's lease.
	 * @param instance the instance
	 * @return what the latest look showed; empty if there is no row
	 */
	public Optional<Long> rowVersion(InstanceId instance) {
		return Optional.ofNullable(this.seen.get(instance)).map((seen) -> seen.row.version());
	}

	/**
	 * Whether an instance has renewed lately, so that it may be given keys and may plan.
	 * One that the store turns away may hold its keys for seconds more, but it can't
	 * learn that others are now its own, and plans nothing: while one such planned, a
	 * full server had its keys for twelve seconds beside two idle ones.
	 * <p>
	 * Nobody could renew just before the store returned, and rows may say of instances
	 * that are gone by then that they are ready. So for a while those count that have
	 * answered from daemon to daemon: keys handed to one that was gone were unserved for
	 * four seconds.
	 * @param instance the instance
	 * @param heard whether it has said lately that it can take keys
	 * @param now the time
	 * @return false if it has no lease, its lease was taken away, or it was not renewed
	 * for two intervals
	 */
	public boolean isRenewing(InstanceId instance, boolean heard, long now) {
		Seen row = this.seen.get(instance);
		if (row == null || row.row.taken() || freeForDeputy(instance, row.row, now)) {
			return false;
		}
		return inGracePeriod(now) ? heard : stillNanos(row) <= overdueNanos();
	}

	/**
	 * Whether the store has only just begun to answer, or answer again.
	 * @param now the time
	 * @return true for a while
	 */
	public boolean inGracePeriod(long now) {
		return this.looked && now - this.notBeforeNanos < 0;
	}

	// A row stands still for an interval, and is looked at as seldom.
	private long overdueNanos() {
		return this.timing.renewalInterval().toNanos() * 2 + SLACK_NANOS;
	}

	/**
	 * Whether an instance's lease has certainly ended.
	 * @param instance the instance
	 * @param now the time
	 * @return the version of its row, to be named in the write that acts on it; 0 if it
	 * has no row; empty if the lease may still go on
	 */
	public Optional<Long> endedRowVersion(InstanceId instance, long now) {
		Seen seen = this.seen.get(instance);
		if (seen != null && freeForDeputy(instance, seen.row, now)) {
			return Optional.of(seen.row.version());
		}
		if (!this.looked || now - this.notBeforeNanos < 0) {
			return Optional.empty();
		}
		if (seen == null) {
			return Optional.of(0L);
		}
		// Counted to the latest look: that nobody looked for a while says nothing.
		boolean over = seen.row.taken() || stillNanos(seen) >= this.timing.plusDrift(this.timing.lease().toNanos());
		return over ? Optional.of(seen.row.version()) : Optional.empty();
	}

	// The holder grants nothing beyond the promises of the deputy that it names.
	private boolean freeForDeputy(InstanceId instance, LeaseRow row, long now) {
		return row.deputy().filter(this.self::equals).isPresent() && !this.promises.isBound(instance, now);
	}

	private long stillNanos(Seen seen) {
		return this.latestLookNanos - seen.sinceNanos;
	}

	/**
	 * Whether a lease may be about to end, so that it is worth while to look more often.
	 * @param holders whose leases matter
	 * @param now the time
	 * @return true if one is not known yet or was not renewed for two intervals, or if
	 * its holder was promised something and has fallen silent
	 */
	public boolean anySuspect(Set<InstanceId> holders, long now) {
		return holders.stream().anyMatch((holder) -> {
			Seen seen = this.seen.get(holder);
			return seen == null || freeForDeputy(holder, seen.row, now)
					|| (!seen.row.taken() && stillNanos(seen) > overdueNanos());
		});
	}

	private record Seen(LeaseRow row, long sinceNanos) {
	}

}
