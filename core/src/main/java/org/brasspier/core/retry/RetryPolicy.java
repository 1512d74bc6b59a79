package org.brasspier.core.retry;

import java.time.Duration;
import java.util.Optional;

import org.brasspier.core.Ran;
import org.brasspier.core.RequestClass;

/**
 * Decides whether and when a daemon sends a request a second time. Not thread-safe.
 */
public final class RetryPolicy {

	/**
	 * A hedge is sent once the first copy has taken longer than 95 of 100 requests do: an
	 * earlier one would double the load, a later one would not help the slowest requests.
	 */
	private static final double HEDGE_PERCENTILE = 95;

	/** Fewer observations say nothing about the slowest twentieth. */
	private static final int MIN_OBSERVATIONS = 100;

	private final RetryBudget budget;

	private final RecentLatencies latencies;

	/**
	 * Creates the policy of one service.
	 * @param budget the budget that retries and hedges are charged to
	 * @param latencies the latencies of its recent requests
	 */
	public RetryPolicy(RetryBudget budget, RecentLatencies latencies) {
		this.budget = budget;
		this.latencies = latencies;
	}

	/**
	 * Returns whether a failed request is to be retried, and charges the budget if so. A
	 * posting is retried only if it certainly did not run; any request only if the answer
	 * can still arrive in time.
	 * @param requestClass the request's class
	 * @param ran what is known about whether the failed attempt ran
	 * @param remaining the time until the deadline
	 * @return true if it must be retried now
	 */
	public boolean tryRetry(RequestClass requestClass, Ran ran, Duration remaining) {
		return mayRetry(requestClass, ran, remaining) && this.budget.trySpend();
	}

	/**
	 * Returns the same for a request whose retry is not charged to the budget.
	 * @param requestClass the request's class
	 * @param ran what is known about whether the failed attempt ran
	 * @param remaining the time until the deadline
	 * @return true if it must be retried now
	 */
	public boolean mayRetry(RequestClass requestClass, Ran ran, Duration remaining) {
		boolean safeToRepeat = ran == Ran.NOT_RUN || requestClass.isIdempotent() && ran == Ran.UNKNOWN;
		boolean inTime = remaining.compareTo(this.latencies.percentile(50)) > 0;
		return safeToRepeat && inTime && !remaining.isZero();
	}

	/**
	 * Returns when to send a second copy of a request that has no answer yet. Only for
	 * services that are not divided by key: otherwise the one owner would get both
	 * copies.
	 * @param requestClass the request's class
	 * @param remaining the time until the deadline
	 * @return the delay after the first copy; empty if there must be no second one
	 */
	public Optional<Duration> hedgeDelay(RequestClass requestClass, Duration remaining) {
		if (!requestClass.isIdempotent() || requestClass == RequestClass.AUDIT
				|| this.latencies.count() < MIN_OBSERVATIONS) {
			return Optional.empty();
		}
		Duration delay = this.latencies.percentile(HEDGE_PERCENTILE);
		boolean inTime = delay.plus(this.latencies.percentile(50)).compareTo(remaining) < 0;
		return inTime ? Optional.of(delay) : Optional.empty();
	}

	/**
	 * Charges the budget for a hedge whose delay has passed.
	 * @return false if the budget is exhausted and the hedge must not be sent
	 */
	public boolean trySpendOnHedge() {
		return this.budget.trySpend();
	}

}
