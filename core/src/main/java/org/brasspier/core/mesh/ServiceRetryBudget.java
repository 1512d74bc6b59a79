package org.brasspier.core.mesh;

import org.brasspier.core.retry.RetryBudget;

/**
 * What a daemon's repeats of requests for one service are paid from. The load is that of
 * a called service that fails many of its calls: each call is repeated, and so are the
 * requests whose calls failed, which call again. A daemon can't tell whose call it passes
 * on, so those calls can't be charged where they arrive. Repeats of what has run are
 * therefore held to half the share: a service that declined 55 in 100 calls got 0.25
 * repeats a request without that and gets 0.19 with it, where operators allow 0.2. Not
 * thread-safe.
 */
public final class ServiceRetryBudget {

	/** A request that runs usually makes one call, so its repeat is two sends. */
	private static final int SENDS_OF_A_RERUN = 2;

	private final RetryBudget all;

	private final RetryBudget reruns;

	/**
	 * Creates a full budget.
	 * @param share what one fresh request adds, from 0 to 1
	 * @param mostSaved the most repeats that can be saved up, at least 1
	 */
	public ServiceRetryBudget(double share, int mostSaved) {
		this.all = new RetryBudget(share, mostSaved);
		this.reruns = new RetryBudget(share / SENDS_OF_A_RERUN, mostSaved);
	}

	/**
	 * Takes another bound of what can be saved up, as when the number of daemons that
	 * share it has changed.
	 * @param most the most repeats that can be saved up, at least 1
	 */
	public void setMostSaved(int most) {
		this.all.setMostSaved(most);
		this.reruns.setMostSaved(most);
	}

	/**
	 * Counts a request that is sent for the first time.
	 */
	public void recordRequest() {
		this.all.recordRequest();
		this.reruns.recordRequest();
	}

	/**
	 * Pays for a repeat of what certainly did not run.
	 * @return false if there is nothing left, and it must not be sent
	 */
	public boolean trySpend() {
		return this.all.trySpend();
	}

	/**
	 * Pays for a repeat of what has or may have run, and may have made calls.
	 * @return false if there is nothing left, and it must not be sent
	 */
	public boolean trySpendOnRerun() {
		return this.all.canSpend() && this.reruns.trySpend() && this.all.trySpend();
	}

}
