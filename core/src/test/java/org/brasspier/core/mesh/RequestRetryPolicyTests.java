package org.brasspier.core.mesh;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.ServiceName;
import org.brasspier.core.request.Answer;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RequestRetryPolicyTests {

	private static final SendOutcome LOST = new SendOutcome.Unknown(
			Failure.of(ErrorKind.OUTCOME_UNKNOWN, "the connection broke"));

	private static final SendOutcome DECLINED = new SendOutcome.NotRun(Failure.of(ErrorKind.OVERLOADED, "full"), true);

	private static final SendOutcome REJECTED = new SendOutcome.NotRun(Failure.of(ErrorKind.OVERLOADED, "full"), false);

	private static final SendOutcome FAILED = new SendOutcome.Answered(new Answer(500, List.of(), new byte[0]));

	private final ServiceRetryBudget budget = new ServiceRetryBudget(0.1, 2);

	private static RouteRule route(boolean idempotent) {
		return new RouteRule("r", "h", "/", idempotent, Duration.ofMillis(500), Duration.ofMillis(200), 1,
				List.of(new WeightedService(new ServiceName("s"), 1)), 2);
	}

	private RequestRetryPolicy policy(boolean idempotent) {
		return new RequestRetryPolicy(route(idempotent), this.budget);
	}

	/**
	 * The connection of a booking breaks after the booking was sent. If it were sent
	 * again, it could be booked twice, and a marina would be billed twice.
	 */
	@Test
	void aRequestThatIsNotIdempotentIsNeverRetriedIfItMayHaveRun() {
		assertThat(policy(false).shouldRetry(LOST, true)).isFalse();
		assertThat(policy(false).shouldRetry(FAILED, true)).isFalse();
		assertThat(policy(false).shouldRetry(DECLINED, true)).isTrue();
	}

	@Test
	void aLookupIsRetriedUpToTheAttemptsOfItsRoute() {
		RequestRetryPolicy policy = policy(true);
		assertThat(policy.shouldRetry(LOST, true)).isTrue();
		assertThat(policy.shouldRetry(LOST, true)).isFalse();
	}

	// Guards against daemons that start together and each use the whole slack of the
	// deployment because they know no other daemon yet.
	@Test
	void aBudgetSharedByMoreDaemonsIsReducedImmediately() {
		ServiceRetryBudget shared = new ServiceRetryBudget(0.1, 20);
		shared.setMostSaved(2);
		assertThat(IntStream.range(0, 20).filter((i) -> shared.trySpend()).count()).isEqualTo(2);
	}

	// Guards against a search for a free slot whose steps are counted as rejections, so
	// that the request is given up.
	@Test
	void serversWithoutAFreeSlotDoNotCountAsRejections() {
		SendOutcome noFreeSlot = new SendOutcome.NotRun(Failure.of(ErrorKind.NO_FREE_SLOT, "none"), false);
		RequestRetryPolicy policy = policy(false);
		assertThat(policy.shouldRetry(noFreeSlot, true)).isTrue();
		assertThat(policy.shouldRetry(noFreeSlot, true)).isTrue();
		assertThat(policy.shouldRetry(REJECTED, true)).isTrue();
		assertThat(policy.shouldRetry(REJECTED, true)).isFalse();
	}

	@Test
	void aRequestWithTooLittleTimeIsNotRetried() {
		assertThat(policy(true).shouldRetry(LOST, false)).isFalse();
		assertThat(policy(true).shouldRetry(REJECTED, false)).isFalse();
	}

	@Test
	void aRequestThatDaemonsRejectCostsNoBudgetAndIsTriedAtMostTwice() {
		RequestRetryPolicy policy = policy(false);
		assertThat(policy.shouldRetry(REJECTED, true)).isTrue();
		assertThat(policy.shouldRetry(REJECTED, true)).isFalse();
		assertThat(this.budget.trySpend()).isTrue();
		assertThat(this.budget.trySpend()).isTrue();
	}

	/**
	 * Two of a service's three servers are gone but still listed. A request that was sent
	 * to both was refused although the third server had capacity.
	 */
	@Test
	void aRequestThatFindsNoServerIsTriedAtThreeMore() {
		SendOutcome absent = new SendOutcome.NotRun(Failure.of(ErrorKind.NO_BACKEND, "gone"), false);
		RequestRetryPolicy policy = policy(false);
		assertThat(IntStream.range(0, 3).allMatch((i) -> policy.shouldRetry(absent, true))).isTrue();
		assertThat(policy.shouldRetry(absent, true)).isFalse();
		assertThat(policy.mayHaveRun()).isFalse();
	}

	/**
	 * A server loses every answer for minutes. If each lookup were retried, the other
	 * servers would get twice their load and fail too.
	 */
	@Test
	void retriesEndWhenTheBudgetIsExhausted() {
		long retries = IntStream.range(0, 100).filter((i) -> policy(true).shouldRetry(LOST, true)).count();
		assertThat(retries).isEqualTo(2);
	}

	/**
	 * A called service declines 55 in 100 calls at random for ten seconds. Each call is
	 * retried once, and lookups whose calls failed twice are run again and repeat their
	 * calls, so retries from two budgets add up at the called service. The rates are
	 * those of a clearing hall's status lookups, each of which makes one call.
	 */
	@Test
	void retriesOfLookupsAndOfTheirCallsTogetherStayWithinTheBoundOfTheCalledService() {
		Random chance = new Random(241386997);
		ServiceRetryBudget lookups = new ServiceRetryBudget(0.12, 3);
		ServiceRetryBudget calls = new ServiceRetryBudget(0.12, 3);
		int requests = 10_000;
		int first = 0;
		int retries = 0;
		for (int i = 0; i < requests; i++) {
			lookups.recordRequest();
			RequestRetryPolicy lookup = new RequestRetryPolicy(route(true), lookups);
			boolean rerun = false;
			boolean retry = true;
			while (retry) {
				calls.recordRequest();
				first += rerun ? 0 : 1;
				retries += rerun ? 1 : 0;
				RequestRetryPolicy call = new RequestRetryPolicy(route(true), calls);
				boolean declined = chance.nextInt(100) < 55;
				if (declined && call.shouldRetry(DECLINED, true)) {
					retries++;
					declined = chance.nextInt(100) < 55;
				}
				retry = declined && lookup.shouldRetry(FAILED, true);
				rerun = true;
			}
		}
		assertThat(retries).isAtMost(first / 5);
		assertThat(retries).isAtLeast(first / 10);
	}

	@Test
	void mayHaveRunStaysTrue() {
		RequestRetryPolicy policy = policy(true);
		policy.shouldRetry(LOST, true);
		policy.shouldRetry(REJECTED, true);
		assertThat(policy.mayHaveRun()).isTrue();
	}

}
