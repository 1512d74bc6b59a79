package org.brasspier.core.link;

import java.time.Duration;

/**
 * Estimates how long bytes from other daemons wait in the network link towards this
 * instance. If many daemons send large messages to this one at a time, their own links
 * are not full, so neither their windows nor their reports show it. Not thread-safe;
 * times are nanoseconds of a steady clock.
 */
public final class InboundLoad {

	private static final long INTERVAL_NANOS = Duration.ofMillis(250).toNanos();

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	/** Below this share of the bandwidth, nothing waits for longer than a moment. */
	private static final double BUSY_SHARE = 0.5;

	private long startNanos;

	private long bytes;

	private long bytesBefore;

	/**
	 * Records received bytes of any connection.
	 * @param received number of bytes
	 * @param now the time
	 */
	public void onReceived(long received, long now) {
		advance(now);
		this.bytes += received;
	}

	private void advance(long now) {
		long passed = (now - this.startNanos) / INTERVAL_NANOS;
		if (passed > 0) {
			this.bytesBefore = (passed == 1) ? this.bytes : 0;
			this.bytes = 0;
			this.startNanos += passed * INTERVAL_NANOS;
		}
	}

	/**
	 * Returns the time for which a byte sent to this instance now may wait.
	 * @param incompleteMessages number of connections on which part of a large message
	 * was received; each may have two pieces on the way
	 * @param linkBytesPerSecond bandwidth of this instance's link; 0 if unknown
	 * @param now the time
	 * @return nanoseconds; 0 if the link is not busy or its bandwidth is unknown
	 */
	public long backlogNanos(int incompleteMessages, double linkBytesPerSecond, long now) {
		advance(now);
		double seconds = (now - this.startNanos + INTERVAL_NANOS) / NANOS_PER_SECOND;
		double rate = (this.bytes + this.bytesBefore) / seconds;
		if (linkBytesPerSecond <= 0 || rate < linkBytesPerSecond * BUSY_SHARE) {
			return 0;
		}
		return (long) (incompleteMessages * 2L * SendWindow.PIECE_BYTES / rate * NANOS_PER_SECOND);
	}

}
