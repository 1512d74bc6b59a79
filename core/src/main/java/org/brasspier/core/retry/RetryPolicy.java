package org.brasspier.core.retry;

import java.time.Duration;
import java.util.Optional;

import org.brasspier.core.Ran;
import org.brasspier.core.RequestClass;

/**
 * Whether and when a daemon sends a request on a second time. Not thread-safe.
 */
public final class RetryPolicy {

	/**
	 * A hedge goes out when the first has taken longer than 95 of 100 do: earlier ones
	 * would double the load, later ones would not help the slowest.
	 */
	private static final double HEDGE_PERCENTILE = 95;

	/** Fewer observations than this say nothing of the slowest twentieth. */
	private static final int FEWEST_OBSERVED = 100;

	private final RetryBudget budget;

	private final RecentLatencies times;

	/**
	 * Creates the rules of one service.
	 * @param budget what resends and hedges are paid from
	 * @param times how long its requests took lately
	 */
	public RetryPolicy(RetryBudget budget, RecentLatencies times) {
		this.budget = budget;
		this.times = times;
	}

	/**
	 * Whether a failed request may be sent again, and pays for it. A posting is sent
	 * again only if it certainly did not run; anything only if the answer can still come
	 * in time.
	 * @param requestClass the request's class
	 * @param ran what is known of the failed try
	 * @param remaining the time until the deadline
	 * @return true if it must be sent again now
	 */
	public boolean tryRetry(RequestClass requestClass, Ran ran, Duration remaining) {
		return mayRetry(requestClass, ran, remaining) && this.budget.trySpend();
	}

	/**
	 * The same, for a request whose resend needs no budget.
	 * @param requestClass the request's class
	 * @param ran what is known of the failed try
	 * @param remaining the time until the deadline
	 * @return true if it must be sent again now
	 */
	public boolean mayRetry(RequestClass requestClass, Ran ran, Duration remaining) {
		boolean harmless = ran == Ran.NOT_RUN || requestClass.isIdempotent() && ran == Ran.UNKNOWN;
		boolean inTime = remaining.compareTo(this.times.percentile(50)) > 0;
		return harmless && inTime && !remaining.isZero();
	}

	/**
	 * When to send a second copy of a request that has no answer yet. Only for services
	 * not divided by key: elsewhere the one owner would get both.
	 * @param requestClass the request's class
	 * @param remaining the time until the deadline
	 * @return the pause after the first copy; empty if there must be no second
	 */
	public Optional<Duration> hedgeDelay(RequestClass requestClass, Duration remaining) {
		if (!requestClass.isIdempotent() || requestClass == RequestClass.AUDIT
				|| this.times.count() < FEWEST_OBSERVED) {
			return Optional.empty();
		}
		Duration pause = this.times.percentile(HEDGE_PERCENTILE);
		boolean inTime = pause.plus(this.times.percentile(50)).compareTo(remaining) < 0;
		return inTime ? Optional.of(pause) : Optional.empty();
	}

	/**
	 * Pays for a hedge whose pause is over.
	 * @return false if the budget is spent and the hedge must not be sent
	 */
	public boolean trySpendOnHedge() {
		return this.budget.trySpend();
	}

}
