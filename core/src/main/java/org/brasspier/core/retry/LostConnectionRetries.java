package org.brasspier.core.retry;

import java.time.Duration;

/**
 * Whether all requests that wait on a connection may be sent again once it is lost. Made
 * for connections that go silent for good while new ones work: all that waits is lost at
 * once, which may be far more than a {@link RetryBudget} has saved up, though the peer is
 * well. What waits has come since the connection was heard last. One that was in use ten
 * times as long before has carried the fresh requests that pay for it. A peer that stalls
 * again and again loses its connections sooner, and resends to it are paid from the
 * budget. Stateless and thread-safe.
 */
public final class LostConnectionRetries {

	private LostConnectionRetries() {
	}

	/**
	 * Whether a connection has carried enough.
	 * @param used from its opening until it was heard last
	 * @param silent from then until it was lost
	 * @return true if what waits on it needs no budget
	 */
	public static boolean exemptFromBudget(Duration used, Duration silent) {
		return used.toNanos() * RetryBudget.DEFAULT_SHARE >= silent.toNanos();
	}

}
