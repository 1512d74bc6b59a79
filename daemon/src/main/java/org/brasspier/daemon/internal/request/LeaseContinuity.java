package org.brasspier.daemon.internal.request;

import org.brasspier.core.routing.OwnershipSnapshot;

/**
 * Determines whether this instance's lease has been valid without a gap since a request
 * was admitted. A member loses a range only after it has reported the range drained or
 * after its lease has expired. So a request that was admitted in the same uninterrupted
 * lease period may continue, even while its range is being handed over. Not thread-safe;
 * used in the request thread only.
 *
 * <p>
 * Updated every few milliseconds. A lease whose last seen end has passed counts as
 * expired even if it was renewed in the meantime, because this process was then paused
 * for most of a lease.
 */
final class LeaseContinuity {

	private long endNanos;

	private long run;

	LeaseContinuity(long nowNanos) {
		this.endNanos = nowNanos;
	}

	// Returns the number of the current lease period, which changes with each gap.
	long update(OwnershipSnapshot snapshot, long nowNanos) {
		if (nowNanos - this.endNanos >= 0) {
			this.run++;
		}
		this.endNanos = snapshot.leaseEndNanos();
		return this.run;
	}

	boolean isUnbroken(long since, OwnershipSnapshot snapshot, long nowNanos) {
		return update(snapshot, nowNanos) == since && snapshot.isLeaseValid(nowNanos);
	}

}
