package org.brasspier.core.retry;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LostConnectionRetriesTests {

	private static final Duration GIVEN_UP_AFTER = Duration.ofMillis(400);

	// Guards against lookups that are turned away because more of them wait on a silent
	// connection than the retry budget has saved up.
	@Test
	void aConnectionThatWorkedForLongPaysForAllThatWaitsOnIt() {
		assertThat(LostConnectionRetries.exemptFromBudget(Duration.ofSeconds(5), GIVEN_UP_AFTER)).isTrue();
	}

	// Guards against a retry storm at a peer that stalls for a moment each second.
	@Test
	void aPeerThatStallsEachSecondGetsAtMostATenthMoreRequests() {
		int connections = 1000;
		Duration used = Duration.ofMillis(600);
		assertThat(LostConnectionRetries.exemptFromBudget(used, GIVEN_UP_AFTER)).isFalse();
		RetryBudget budget = RetryBudget.withDefaults();
		long fresh = 0;
		long resent = 0;
		for (int i = 0; i < connections; i++) {
			for (int request = 0; request < 100; request++) {
				fresh++;
				budget.recordRequest();
			}
			for (int waiting = 0; waiting < 40; waiting++) {
				resent += budget.trySpend() ? 1 : 0;
			}
		}
		assertThat(resent).isAtMost(fresh / 10 + RetryBudget.DEFAULT_MOST_SAVED);
	}

	// The same, where it stalls just as seldom as its connections must last.
	@Test
	void whatWaitsIsAtMostATenthOfWhatTheConnectionCarried() {
		Duration shortest = GIVEN_UP_AFTER.multipliedBy(10);
		assertThat(LostConnectionRetries.exemptFromBudget(shortest, GIVEN_UP_AFTER)).isTrue();
		assertThat(LostConnectionRetries.exemptFromBudget(shortest.minusMillis(1), GIVEN_UP_AFTER)).isFalse();
	}

}
