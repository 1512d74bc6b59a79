package org.brasspier.core.mesh;

import java.time.Duration;

/**
 * Decides when two daemons exchange rows of the store. Each daemon follows the store by a
 * feed of its own, and usually both have the same rows within a few milliseconds. But a
 * feed can go silent, the store may reject one instance, and a daemon that starts while
 * the store is down knows no other instance. In these cases the daemon with newer rows
 * sends them. Not thread-safe; one for each connection.
 */
public final class RowExchange {

	/**
	 * Time for which two daemons may differ before they exchange rows. Feeds differ by a
	 * few milliseconds, and by some hundred if the store is slow. Well below the two
	 * seconds within which a configuration must be in force.
	 */
	public static final Duration DIFFERENCE_TOLERANCE = Duration.ofMillis(400);

	/**
	 * Leaves rows that were sent or requested time to take effect before the next
	 * attempt.
	 */
	private static final long REPEAT_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

	private boolean differ;

	private long differSinceNanos;

	private boolean acted;

	private long actedNanos;

	/**
	 * Compares the row versions of this daemon with those that the other one reported.
	 * @param own the versions that this daemon has
	 * @param other the versions that the other daemon reported
	 * @param nowNanos the current time, in nanoseconds of the steady clock
	 * @return what to do
	 */
	public Action compare(KnownRows own, KnownRows other, long nowNanos) {
		boolean ahead = own.aheadOf(other);
		boolean behind = other.aheadOf(own);
		if (!ahead && !behind) {
			this.differ = false;
			return Action.NOTHING;
		}
		if (!this.differ) {
			this.differ = true;
			this.differSinceNanos = nowNanos;
		}
		boolean otherIsEmpty = other.config() == 0 || other.mesh() == 0;
		boolean due = otherIsEmpty || nowNanos - this.differSinceNanos >= DIFFERENCE_TOLERANCE.toNanos();
		if (!due || (this.acted && nowNanos - this.actedNanos < REPEAT_INTERVAL_NANOS)) {
			return Action.NOTHING;
		}
		this.acted = true;
		this.actedNanos = nowNanos;
		return new Action(ahead, behind);
	}

	/**
	 * Returns how long the daemons may still differ before they exchange rows.
	 * @param nowNanos the current time, in nanoseconds of the steady clock
	 * @return the time; zero if they don't differ or have differed for long enough
	 */
	public Duration toleranceLeft(long nowNanos) {
		Duration left = DIFFERENCE_TOLERANCE.minusNanos(nowNanos - this.differSinceNanos);
		return (this.differ && left.isPositive()) ? left : Duration.ZERO;
	}

	/**
	 * The action to take.
	 *
	 * @param send whether to send the other daemon the rows that it lacks
	 * @param request whether to request the rows that this daemon lacks
	 */
	public record Action(boolean send, boolean request) {

		/** Both have the same rows, or will have them soon. */
		public static final Action NOTHING = new Action(false, false);

	}

}
