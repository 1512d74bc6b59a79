package org.brasspier.core.stop;

import java.time.Duration;

/**
 * Decides which requests of callers a stopping daemon takes, and how much time they get.
 * For a first period every request is taken, since callers learn late that the daemon is
 * leaving. After it a request is refused, as not run, if it can't be expected to end in
 * time, or if it may not be repeated and could be cut off. No request is given more time
 * than the daemon has, so that a backend server answers before the daemon ends. Immutable
 * and thread-safe.
 *
 * @param beganNanos when the daemon was told to stop, nanoseconds of a steady clock
 * @param takeAll how long every request is taken
 * @param timeout how long the daemon goes on at most
 */
public record StopPlan(long beganNanos, Duration takeAll, Duration timeout) {

	/** Time for an answer to reach its caller before the daemon ends. */
	static final Duration ANSWER_MARGIN = Duration.ofMillis(150);

	/**
	 * Decides on a request.
	 * @param idempotent whether the request may run twice
	 * @param longest how long it may take at most, by its deadline and its route
	 * @param usual how long requests of its route are meant to take
	 * @param now current time, nanoseconds of the same clock
	 * @return the decision
	 */
	public Decision decide(boolean idempotent, Duration longest, Duration usual, long now) {
		Duration elapsed = Duration.ofNanos(now - this.beganNanos);
		Duration end = this.timeout.minus(elapsed);
		Duration left = end.minus(ANSWER_MARGIN);
		boolean endsInTime = longest.compareTo(left) <= 0;
		if (endsInTime) {
			return new Decision.Take(longest);
		}
		boolean takenInAnyCase = elapsed.compareTo(this.takeAll) <= 0;
		boolean expectedInTime = idempotent && usual.compareTo(left) <= 0;
		return (left.isPositive() && (takenInAnyCase || expectedInTime)) ? new Decision.Take(left)
				: new Decision.Refuse(end.isPositive() ? end : Duration.ZERO);
	}

	/**
	 * What becomes of a request.
	 */
	public sealed interface Decision {

		/**
		 * The request is served.
		 *
		 * @param remaining the time it is given
		 */
		record Take(Duration remaining) implements Decision {
		}

		/**
		 * The request is refused and does not run.
		 *
		 * @param untilEnd time until the daemon ends, which another one may replace
		 */
		record Refuse(Duration untilEnd) implements Decision {
		}

	}

}
