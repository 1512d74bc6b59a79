package org.brasspier.daemon.internal.request;

/**
 * A peer's time as this side can tell it: the peer's nanoseconds since it took the
 * connection, never more than they truly are. A message that carries it can't seem
 * younger than it is, however long it or anything before it was held up on the way; the
 * two monotonic clocks need not agree. Immutable and thread-safe.
 *
 * @param peerNanos a time of the peer
 * @param heardNanos when it was known here, as {@link System#nanoTime()} counts
 */
record PeerClock(long peerNanos, long heardNanos) {

	// The peer took the connection before this side knew that it is open.
	static PeerClock openedAt(long nanos) {
		return new PeerClock(0, nanos);
	}

	static PeerClock heard(long peerNanos, long nowNanos) {
		return new PeerClock(peerNanos, nowNanos);
	}

	long at(long nowNanos) {
		return this.peerNanos + (nowNanos - this.heardNanos);
	}

}
