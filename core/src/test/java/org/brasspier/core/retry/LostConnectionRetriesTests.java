package org.brasspier.core.retry;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LostConnectionRetriesTests {

	private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(400);

	// Guards against rejecting lookups because more of them are pending on a silent
	// connection than the retry budget has saved up.
	@Test
	void pendingRequestsOfALongUsedConnectionNeedNoBudget() {
		assertThat(LostConnectionRetries.exemptFromBudget(Duration.ofSeconds(5), SILENCE_TIMEOUT)).isTrue();
	}

	// Guards against a retry storm at a peer that stalls briefly every second.
	@Test
	void aPeerThatStallsEverySecondGetsAtMostATenthMoreRequests() {
		int connections = 1000;
		Duration used = Duration.ofMillis(600);
		assertThat(LostConnectionRetries.exemptFromBudget(used, SILENCE_TIMEOUT)).isFalse();
		RetryBudget budget = RetryBudget.withDefaults();
		long fresh = 0;
		long retried = 0;
		for (int i = 0; i < connections; i++) {
			for (int request = 0; request < 100; request++) {
				fresh++;
				budget.recordRequest();
			}
			for (int waiting = 0; waiting < 40; waiting++) {
				retried += budget.trySpend() ? 1 : 0;
			}
		}
		assertThat(retried).isAtMost(fresh / 10 + RetryBudget.DEFAULT_MOST_SAVED);
	}

	// The same for a peer whose stalls are just as far apart as a connection must last.
	@Test
	void aConnectionMustHaveBeenUsedTenTimesAsLongAsItWasSilent() {
		Duration shortest = SILENCE_TIMEOUT.multipliedBy(10);
		assertThat(LostConnectionRetries.exemptFromBudget(shortest, SILENCE_TIMEOUT)).isTrue();
		assertThat(LostConnectionRetries.exemptFromBudget(shortest.minusMillis(1), SILENCE_TIMEOUT)).isFalse();
	}

}
