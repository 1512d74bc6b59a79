package org.brasspier.core.choosing;

/**
 * Limits how often the requests of one daemon search for a free slot before they wait.
 * Needed for a saturated service with few servers and many daemons: no search succeeds,
 * and each takes processor time of the servers' daemons, which delays all their other
 * traffic. After each failed search, the next requests skip the search; their number
 * doubles with each failure, up to 16. Not thread-safe; use one object per service.
 */
public final class SearchThrottle {

	/** Maximum number of consecutive requests that skip the search. */
	private static final int MAX_SKIPPED = 16;

	private int nextSkipCount = 1;

	private int skipsLeft;

	/**
	 * Returns whether the next request should search. Must be called once per request.
	 * @return false if the request is to wait at the first server that receives it
	 */
	public boolean shouldSearch() {
		if (this.skipsLeft == 0) {
			return true;
		}
		this.skipsLeft--;
		return false;
	}

	/**
	 * Records that a request found a free slot without waiting. In a saturated service
	 * this happens by chance from time to time, so the number of requests that skip the
	 * search is reduced only by a quarter each time.
	 */
	public void onSlotFound() {
		this.nextSkipCount = Math.max(1, this.nextSkipCount * 3 / 4);
		this.skipsLeft = this.nextSkipCount - 1;
	}

	/**
	 * Records that a search ended without a free slot.
	 */
	public void onNoSlotFound() {
		this.skipsLeft = this.nextSkipCount;
		this.nextSkipCount = Math.min(MAX_SKIPPED, 2 * this.nextSkipCount);
	}

}
