package org.brasspier.core.retry;

/**
 * How many resends the fresh requests pay for. Made for outages: when everything fails,
 * each request sent three more times makes four times the load just as servers come back.
 * Not thread-safe.
 */
public final class RetryBudget {

	/** Ten fresh requests pay for one resend, so load grows by a tenth at most. */
	public static final double DEFAULT_SHARE = 0.1;

	/**
	 * What can be saved up: enough for the blip when a range moves, too little for a
	 * storm after an outage however long it was quiet.
	 */
	public static final int DEFAULT_MOST_SAVED = 20;

	private final double share;

	private int mostSaved;

	private double saved;

	/**
	 * Creates a full budget.
	 * @param share what one fresh request adds, from 0 to 1
	 * @param mostSaved the most resends that can be saved up, at least 1
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
	 * A budget with the usual share.
	 * @return a full budget
	 */
	public static RetryBudget withDefaults() {
		return new RetryBudget(DEFAULT_SHARE, DEFAULT_MOST_SAVED);
	}

	/**
	 * Takes another bound of what can be saved up; what is saved beyond it is lost.
	 * @param most the most resends that can be saved up, at least 1
	 */
	public void setMostSaved(int most) {
		this.mostSaved = most;
		this.saved = Math.min(most, this.saved);
	}

	/**
	 * Counts a request that is sent for the first time.
	 */
	public void recordRequest() {
		this.saved = Math.min(this.mostSaved, this.saved + this.share);
	}

	/**
	 * Whether a resend could be paid for.
	 * @return false if there is nothing left
	 */
	public boolean canSpend() {
		return this.saved >= 1;
	}

	/**
	 * Pays for one resend.
	 * @return false if there is nothing left, and the resend must not be
	 */
	public boolean trySpend() {
		if (!canSpend()) {
			return false;
		}
		this.saved--;
		return true;
	}

}
