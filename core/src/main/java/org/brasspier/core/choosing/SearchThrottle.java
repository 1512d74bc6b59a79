package org.brasspier.core.choosing;

/**
 * How often the requests of one daemon search for a free slot before they wait. The load
 * is that of a saturated service with few servers and many daemons: each search finds
 * none, and asking takes processor time of the daemons beside the servers, which then
 * hold up everything that passes them. After a search in vain a growing number of
 * requests goes without one. Not thread-safe; one for each service.
 */
public final class SearchThrottle {

	/** Requests in a row that go without a search, at most. */
	private static final int MOST_WITHOUT = 16;

	private int withoutNextTime = 1;

	private int without;

	/**
	 * Whether the next request is to search. Asked once for each request.
	 * @return false if it is to wait at the first server it is brought to
	 */
	public boolean shouldSearch() {
		if (this.without == 0) {
			return true;
		}
		this.without--;
		return false;
	}

	/**
	 * Takes that a request found a free slot without waiting. While a service is
	 * saturated that happens now and then by chance, so searches come back step by step.
	 */
	public void onSlotFound() {
		this.withoutNextTime = Math.max(1, this.withoutNextTime * 3 / 4);
		this.without = this.withoutNextTime - 1;
	}

	/**
	 * Takes that a search ended without a free slot.
	 */
	public void onNoSlotFound() {
		this.without = this.withoutNextTime;
		this.withoutNextTime = Math.min(MOST_WITHOUT, 2 * this.withoutNextTime);
	}

}
