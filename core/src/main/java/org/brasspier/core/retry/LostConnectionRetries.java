package org.brasspier.core.retry;

import java.time.Duration;

/**
 * Decides whether the requests that are pending on a lost connection may all be retried
 * without charging the {@link RetryBudget}. It is made for connections that go silent
 * permanently while new ones work: all pending requests are lost at once, which may be
 * far more than the budget has saved up, although the peer is healthy. The pending
 * requests were sent since the connection was last heard from. A connection that was in
 * use ten times as long before has carried the new requests that pay for the retries. A
 * peer that stalls repeatedly loses its connections sooner, and retries to it are charged
 * to the budget. Stateless and thread-safe.
 */
public final class LostConnectionRetries {

	private LostConnectionRetries() {
	}

	/**
	 * Returns whether a connection has carried enough requests.
	 * @param used from its opening until it was last heard from
	 * @param silent from then until it was lost
	 * @return true if the requests pending on it need no budget
	 */
	public static boolean exemptFromBudget(Duration used, Duration silent) {
		return used.toNanos() * RetryBudget.DEFAULT_SHARE >= silent.toNanos();
	}

}
