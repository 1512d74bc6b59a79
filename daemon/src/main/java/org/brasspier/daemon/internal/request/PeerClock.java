package org.brasspier.daemon.internal.request;

import java.time.Duration;

import org.brasspier.core.ownership.Timing;

/**
 * A lower bound for a peer's clock, which counts nanoseconds since the peer accepted the
 * connection. A message that carries this time never appears younger than it is, however
 * long the message or any earlier one was delayed on the network. The two monotonic
 * clocks need not agree and may drift apart slightly. Immutable and thread-safe.
 *
 * @param peerNanos a time on the peer's clock
 * @param measuredNanos when that time was received, on the clock of
 * {@link System#nanoTime()}
 */
record PeerClock(long peerNanos, long measuredNanos) {

	/** At this age the allowance for drift is 20 ms, a thirtieth of a lease. */
	private static final long STALE_NANOS = Duration.ofSeconds(2).toNanos();

	// The peer accepts the connection before this side sees it open.
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
