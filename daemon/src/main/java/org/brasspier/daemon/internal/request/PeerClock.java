package org.brasspier.daemon.internal.request;

import java.time.Duration;

import org.brasspier.core.ownership.Timing;

/**
 * A peer's time as this side can tell it: the peer's nanoseconds since it took the
 * connection, never more than they truly are. A message that carries it can't seem
 * younger than it is, however long it or anything before it was held up on the way. The
 * two monotonic clocks need not agree, and may drift apart a little. Immutable and
 * thread-safe.
 *
 * @param peerNanos a time of the peer
 * @param measuredNanos when it was known here, as {@link System#nanoTime()} counts
 */
record PeerClock(long peerNanos, long measuredNanos) {

	/** By then the allowance for drift is 20 ms, a thirtieth of a lease. */
	private static final long STALE_NANOS = Duration.ofSeconds(2).toNanos();

	// The peer took the connection before this side knew that it is open.
	static PeerClock openedAt(long nanos) {
		return new PeerClock(0, nanos);
	}

	static PeerClock measured(long peerNanos, long nowNanos) {
		return new PeerClock(peerNanos, nowNanos);
	}

	long peerNanosAt(long nowNanos) {
		long passed = nowNanos - this.measuredNanos;
		long drift = Timing.STANDARD.withDrift(passed) - passed;
		return this.peerNanos + passed - drift;
	}

	boolean isStale(long nowNanos) {
		return nowNanos - this.measuredNanos >= STALE_NANOS;
	}

}
