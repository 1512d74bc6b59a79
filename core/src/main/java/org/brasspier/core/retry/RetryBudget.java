package org.brasspier.core.retry;

/**
 * Limits retries to a share of the new requests. It is made for outages: if everything
 * fails and each request is sent three more times, servers get four times the load just
 * as they come back. Not thread-safe.
 */
public final class RetryBudget {

	/** Ten new requests pay for one retry, so load grows by at most a tenth. */
	public static final double DEFAULT_SHARE = 0.1;

	/**
	 * The maximum that can be saved up: enough for the brief failures while a range
	 * moves, too little for a retry storm after an outage, however long it was quiet
	 * before.
	 */
	public static final int DEFAULT_MOST_SAVED = 20;

	private final double share;

	private int mostSaved;

	private double saved;

	/**
	 * Creates a full budget.
	 * @param share the retries that each new request adds, from 0 to 1
	 * @param mostSaved the maximum number of retries that can be saved up, at least 1
	 */
	public RetryBudget(double share, int mostSaved) {
		if (!(share >= 0 && share <= 1) || mostSaved < 1) {
			throw new IllegalArgumentException(
					"share %s must be from 0 to 1, mostSaved %d at least 1".formatted(share, mostSaved));
		}
		this.share = share;
		this.mostSaved = mostSaved;
		this.saved = mostSaved;
	}

	/**
	 * Creates a budget with the default share and maximum.
	 * @return a full budget
	 */
	public static RetryBudget withDefaults() {
		return new RetryBudget(DEFAULT_SHARE, DEFAULT_MOST_SAVED);
	}

	/**
	 * Changes the maximum that can be saved up; anything saved beyond it is discarded.
	 * @param most the maximum number of retries that can be saved up, at least 1
	 */
	public void setMostSaved(int most) {
		this.mostSaved = most;
		this.saved = Math.min(most, this.saved);
	}

	/**
	 * Records a request that is sent for the first time.
	 */
	public void recordRequest() {
		this.saved = Math.min(this.mostSaved, this.saved + this.share);
	}

	/**
	 * Returns whether a retry could be spent.
	 * @return false if the budget is exhausted
	 */
	public boolean canSpend() {
		return this.saved >= 1;
	}

	/**
	 * Spends one retry.
	 * @return false if the budget is exhausted and the request must not be retried
	 */
	public boolean trySpend() {
		if (!canSpend()) {
			return false;
		}
		this.saved--;
		return true;
	}

}
