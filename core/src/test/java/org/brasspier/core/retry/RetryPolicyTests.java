package org.brasspier.core.retry;

import java.time.Duration;
import java.util.stream.IntStream;

import org.brasspier.core.Ran;
import org.brasspier.core.RequestClass;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RetryPolicyTests {

	private static final Duration LONG = Duration.ofSeconds(10);

	private final RetryBudget budget = RetryBudget.withDefaults();

	private final RecentLatencies times = new RecentLatencies(Duration.ofSeconds(30), 0);

	private final RetryPolicy rules = new RetryPolicy(this.budget, this.times);

	@Test
	void aPostingThatMayHaveRunIsNeverSentAgain() {
		assertThat(this.rules.tryRetry(RequestClass.POSTING, Ran.UNKNOWN, LONG)).isFalse();
		assertThat(this.rules.tryRetry(RequestClass.POSTING, Ran.NOT_RUN, LONG)).isTrue();
	}

	@Test
	void aLookupIsSentAgainOnlyWithinItsDeadline() {
		this.times.record(Duration.ofMillis(50).toNanos(), 1);
		assertThat(this.rules.tryRetry(RequestClass.LOOKUP, Ran.UNKNOWN, LONG)).isTrue();
		assertThat(this.rules.tryRetry(RequestClass.LOOKUP, Ran.UNKNOWN, Duration.ofMillis(40))).isFalse();
	}

	/**
	 * Servers come back after an outage and fall over again: each of a thousand failed
	 * requests is sent three more times. The budget must hold resends to a tenth.
	 */
	@Test
	void resendsAreATenthOfFreshRequestsDuringAnOutage() {
		long resent = IntStream.range(0, 10_000).filter((i) -> {
			this.budget.recordRequest();
			return this.rules.tryRetry(RequestClass.LOOKUP, Ran.NOT_RUN, LONG);
		}).count();
		assertThat(resent).isAtMost(1000L + RetryBudget.DEFAULT_MOST_SAVED);
	}

	@Test
	void onlyQuickIdempotentRequestsAreHedged() {
		IntStream.rangeClosed(1, 200).forEach((i) -> this.times.record(i * 1_000_000L, i));
		assertThat(this.rules.hedgeDelay(RequestClass.POSTING, LONG)).isEmpty();
		assertThat(this.rules.hedgeDelay(RequestClass.AUDIT, LONG)).isEmpty();
		assertThat(this.rules.hedgeDelay(RequestClass.LOOKUP, Duration.ofMillis(100))).isEmpty();
		assertThat(this.rules.hedgeDelay(RequestClass.LOOKUP, LONG).orElseThrow().toMillis()).isAtLeast(180);
	}

}
