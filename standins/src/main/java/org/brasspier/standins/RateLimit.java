package org.brasspier.standins;

/**
 * Lets a number of calls a second pass, with a second's worth saved up at most. Belongs
 * to one thread.
 */
final class RateLimit {

	private static final double NANOS = 1e9;

	private final double perSecond;

	private double saved;

	private long lastNanos;

	RateLimit(double perSecond, long nowNanos) {
		this.perSecond = perSecond;
		this.saved = perSecond;
		this.lastNanos = nowNanos;
	}

	boolean pass(long nowNanos) {
		this.saved = Math.min(this.perSecond, this.saved + (nowNanos - this.lastNanos) / NANOS * this.perSecond);
		this.lastNanos = nowNanos;
		if (this.saved < 1) {
			return false;
		}
		this.saved--;
		return true;
	}

}
