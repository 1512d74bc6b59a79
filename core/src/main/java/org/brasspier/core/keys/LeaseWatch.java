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
 * version in its write, so a renewal that comes in between wins. Not thread-safe.
 */
public final class LeaseWatch {

	/**
	 * Nobody could renew while the store was away, so nobody is taken for lost as it
	 * returns: one renewal interval and the way of a write pass first. Without this, the
	 * first reader after an outage would take all keys of everyone else.
	 */
	private static final long GRACE_NANOS = Duration.ofSeconds(3).toNanos();

	private final LeaseTiming timing;

	private final Map<InstanceId, Seen> seen = new HashMap<>();

	private long latestLookNanos;

	private long notBeforeNanos;

	private boolean looked;

	/**
	 * Creates a watch that has seen nothing.
	 * @param timing the times
	 */
	public LeaseWatch(LeaseTiming timing) {
		this.timing = timing;
	}

	/**
	 * Takes what the store showed, none of it taken away.
	 * @param versions the version of each lease's row
	 * @param now when the answer came
	 */
	public void look(Map<InstanceId, Long> versions, long now) {
		look(versions, Set.of(), now);
	}

	/**
	 * Takes what the store showed. A row that another instance wrote as it took the keys
	 * has a new version, but nobody renewed: counted as a renewal, it would make an
	 * instance that is lost for good a holder again for as long as a lease.
	 * @param versions the version of each lease's row
	 * @param taken whose leases were taken away and not renewed since
	 * @param now when the answer came
	 */
	public void look(Map<InstanceId, Long> versions, Set<InstanceId> taken, long now) {
		if (!this.looked || now - this.latestLookNanos > GRACE_NANOS) {
			this.notBeforeNanos = now + GRACE_NANOS;
		}
		this.looked = true;
		this.latestLookNanos = now;
		this.seen.keySet().retainAll(versions.keySet());
		versions
			.forEach((instance, version) -> this.seen.merge(instance, new Seen(version, now, taken.contains(instance)),
					(before, after) -> (before.version == after.version) ? before : after));
	}

	/**
	 * Whether an instance has renewed lately, as far as is known.
	 * @param instance the instance
	 * @param now the time
	 * @return false if it has no lease, or its lease was taken away or has ended
	 */
	public boolean live(InstanceId instance, long now) {
		Seen row = this.seen.get(instance);
		return row != null && !row.taken && ended(instance, now).isEmpty();
	}

	/**
	 * Whether an instance's lease has certainly ended.
	 * @param instance the instance
	 * @param now the time
	 * @return the version of its row, to be named in the write that acts on it; 0 if it
	 * has no row; empty if the lease may still go on
	 */
	public Optional<Long> ended(InstanceId instance, long now) {
		if (!this.looked || now - this.notBeforeNanos < 0) {
			return Optional.empty();
		}
		Seen row = this.seen.get(instance);
		if (row == null) {
			return Optional.of(0L);
		}
		// Counted to the latest look: that nobody looked for a while says nothing.
		boolean over = row.taken
				|| this.latestLookNanos - row.sinceNanos >= this.timing.atMost(this.timing.lease().toNanos());
		return over ? Optional.of(row.version) : Optional.empty();
	}

	private record Seen(long version, long sinceNanos, boolean taken) {
	}

}
