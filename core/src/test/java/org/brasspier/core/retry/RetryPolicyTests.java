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

	private final RecentLatencies latencies = new RecentLatencies(Duration.ofSeconds(30), 0);

	private final RetryPolicy policy = new RetryPolicy(this.budget, this.latencies);

	@Test
	void aPostingThatMayHaveRunIsNeverRetried() {
		assertThat(this.policy.tryRetry(RequestClass.POSTING, Ran.UNKNOWN, LONG)).isFalse();
		assertThat(this.policy.tryRetry(RequestClass.POSTING, Ran.NOT_RUN, LONG)).isTrue();
	}

	@Test
	void aLookupIsRetriedOnlyWithinItsDeadline() {
		this.latencies.record(Duration.ofMillis(50).toNanos(), 1);
		assertThat(this.policy.tryRetry(RequestClass.LOOKUP, Ran.UNKNOWN, LONG)).isTrue();
		assertThat(this.policy.tryRetry(RequestClass.LOOKUP, Ran.UNKNOWN, Duration.ofMillis(40))).isFalse();
	}

	/**
	 * Guards against servers that fail again right after an outage because each of a
	 * thousand failed requests is sent three more times. The budget must limit retries to
	 * a tenth.
	 */
	@Test
	void retriesAreAtMostATenthOfNewRequestsDuringAnOutage() {
		long retried = IntStream.range(0, 10_000).filter((i) -> {
			this.budget.recordRequest();
			return this.policy.tryRetry(RequestClass.LOOKUP, Ran.NOT_RUN, LONG);
		}).count();
		assertThat(retried).isAtMost(1000L + RetryBudget.DEFAULT_MOST_SAVED);
	}

	@Test
	void onlyShortIdempotentRequestsAreHedged() {
		IntStream.rangeClosed(1, 200).forEach((i) -> this.latencies.record(i * 1_000_000L, i));
		assertThat(this.policy.hedgeDelay(RequestClass.POSTING, LONG)).isEmpty();
		assertThat(this.policy.hedgeDelay(RequestClass.AUDIT, LONG)).isEmpty();
		assertThat(this.policy.hedgeDelay(RequestClass.LOOKUP, Duration.ofMillis(100))).isEmpty();
		assertThat(this.policy.hedgeDelay(RequestClass.LOOKUP, LONG).orElseThrow().toMillis()).isAtLeast(180);
	}

}
