package org.brasspier.core.mesh;

import org.brasspier.core.retry.RetryBudget;

/**
 * The budget for a daemon's retries of requests for one service. It is made for a called
 * service that fails many of its calls: each call is retried, and so are the requests
 * whose calls failed, which make their calls again. A daemon can't tell which request a
 * call that it forwards belongs to, so those calls can't be charged where they arrive.
 * Retries of requests that have run are therefore limited to half the share: a service
 * that declined 55 in 100 calls got 0.25 retries per request without that limit and 0.19
 * with it, where operators allow 0.2. Not thread-safe.
 */
public final class ServiceRetryBudget {

	/** A request that runs usually makes one call, so its retry causes two sends. */
	private static final int SENDS_OF_A_RERUN = 2;

	private final RetryBudget all;

	private final RetryBudget reruns;

	/**
	 * Creates a full budget.
	 * @param share the retries that each new request adds, from 0 to 1
	 * @param mostSaved the maximum number of retries that can be saved up, at least 1
	 */
	public ServiceRetryBudget(double share, int mostSaved) {
		this.all = new RetryBudget(share, mostSaved);
		this.reruns = new RetryBudget(share / SENDS_OF_A_RERUN, mostSaved);
	}

	/**
	 * Changes the maximum that can be saved up, for example when the number of daemons
	 * that share it has changed.
	 * @param most the maximum number of retries that can be saved up, at least 1
	 */
	public void setMostSaved(int most) {
		this.all.setMostSaved(most);
		this.reruns.setMostSaved(most);
	}

	/**
	 * Records a request that is sent for the first time.
	 */
	public void recordRequest() {
		this.all.recordRequest();
		this.reruns.recordRequest();
	}

	/**
	 * Spends one retry of a request that certainly did not run.
	 * @return false if the budget is exhausted and the request must not be retried
	 */
	public boolean trySpend() {
		return this.all.trySpend();
	}

	/**
	 * Spends one retry of a request that has run or may have run, and may have made
	 * calls.
	 * @return false if the budget is exhausted and the request must not be retried
	 */
	public boolean trySpendOnRerun() {
		return this.all.canSpend() && this.reruns.trySpend() && this.all.trySpend();
	}

}
