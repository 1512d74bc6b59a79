package org.brasspier.daemon.internal.request;

import org.brasspier.core.routing.OwnershipSnapshot;

/**
 * Tells whether this instance's lease has run without a gap since a request was admitted.
 * Ranges leave a member only after it has reported them drained or after its lease has
 * lapsed, so a request whose admission lies in the same unbroken run of the lease may go
 * on, also while its range is being handed over. Belongs to the thread of requests.
 *
 * <p>
 * Looked at each few milliseconds: a lease whose last seen end has passed counts as
 * lapsed even if a renewal came meanwhile, since then this process was paused for most of
 * a lease.
 */
final class LeaseContinuity {

	private long endNanos;

	private long run;

	LeaseContinuity(long nowNanos) {
		this.endNanos = nowNanos;
	}

	// The number of the present run of the lease, which changes with each gap.
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
