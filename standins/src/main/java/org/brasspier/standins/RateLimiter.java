package org.brasspier.standins;

/**
 * A token bucket that permits a number of calls per second, with a burst of at most one
 * second's calls. Belongs to one thread.
 */
final class RateLimiter {

	private static final double NANOS_PER_SECOND = 1e9;

	private final double perSecond;

	private double permits;

	private long lastNanos;

	RateLimiter(double perSecond, long nowNanos) {
		this.perSecond = perSecond;
		this.permits = perSecond;
		this.lastNanos = nowNanos;
	}

	boolean tryAcquire(long nowNanos) {
		this.permits = Math.min(this.perSecond,
				this.permits + (nowNanos - this.lastNanos) / NANOS_PER_SECOND * this.perSecond);
		this.lastNanos = nowNanos;
		if (this.permits < 1) {
			return false;
		}
		this.permits--;
		return true;
	}

}
