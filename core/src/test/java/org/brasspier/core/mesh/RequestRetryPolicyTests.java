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

	private static final SendOutcome TURNED_AWAY = new SendOutcome.NotRun(Failure.of(ErrorKind.OVERLOADED, "full"),
			false);

	private static final SendOutcome FAILED = new SendOutcome.Answered(new Answer(500, List.of(), new byte[0]));

	private final ServiceRetryBudget budget = new ServiceRetryBudget(0.1, 2);

	private static RouteRule route(boolean idempotent) {
		return new RouteRule("r", "h", "/", idempotent, Duration.ofMillis(500), Duration.ofMillis(200), 1,
				List.of(new WeightedService(new ServiceName("s"), 1)), 2);
	}

	private RequestRetryPolicy rules(boolean idempotent) {
		return new RequestRetryPolicy(route(idempotent), this.budget);
	}

	/**
	 * A booking's connection breaks after it was sent. Sent again, it could be booked
	 * twice, and a marina would be billed twice.
	 */
	@Test
	void whatMayNotRunTwiceIsNeverSentAgainIfItMayHaveRun() {
		assertThat(rules(false).shouldRetry(LOST, true)).isFalse();
		assertThat(rules(false).shouldRetry(FAILED, true)).isFalse();
		assertThat(rules(false).shouldRetry(DECLINED, true)).isTrue();
	}

	@Test
	void aLookupIsSentOnceMoreAndNotMoreOftenThanItsRouteAllows() {
		RequestRetryPolicy rules = rules(true);
		assertThat(rules.shouldRetry(LOST, true)).isTrue();
		assertThat(rules.shouldRetry(LOST, true)).isFalse();
	}

	// Guards against daemons that start together, each with the whole slack of the
	// deployment since it knows nobody yet.
	@Test
	void aBudgetThatMoreDaemonsShareIsCutAtOnce() {
		ServiceRetryBudget shared = new ServiceRetryBudget(0.1, 20);
		shared.setMostSaved(2);
		assertThat(IntStream.range(0, 20).filter((i) -> shared.trySpend()).count()).isEqualTo(2);
	}

	// Guards against a search for a free slot that is taken for refusals and given up.
	@Test
	void serversWithoutAFreeSlotDoNotCountAsRefusals() {
		SendOutcome noFreeSlot = new SendOutcome.NotRun(Failure.of(ErrorKind.NO_FREE_SLOT, "none"), false);
		RequestRetryPolicy rules = rules(false);
		assertThat(rules.shouldRetry(noFreeSlot, true)).isTrue();
		assertThat(rules.shouldRetry(noFreeSlot, true)).isTrue();
		assertThat(rules.shouldRetry(TURNED_AWAY, true)).isTrue();
		assertThat(rules.shouldRetry(TURNED_AWAY, true)).isFalse();
	}

	@Test
	void whatComesTooLateIsNotSentAgain() {
		assertThat(rules(true).shouldRetry(LOST, false)).isFalse();
		assertThat(rules(true).shouldRetry(TURNED_AWAY, false)).isFalse();
	}

	@Test
	void whatAGateTurnsAwayCostsNoBudgetButIsTriedTwiceAtMost() {
		RequestRetryPolicy rules = rules(false);
		assertThat(rules.shouldRetry(TURNED_AWAY, true)).isTrue();
		assertThat(rules.shouldRetry(TURNED_AWAY, true)).isFalse();
		assertThat(this.budget.trySpend()).isTrue();
		assertThat(this.budget.trySpend()).isTrue();
	}

	/**
	 * Two of a service's three servers are gone and their entries are not. A request that
	 * met both was refused though the third server had room.
	 */
	@Test
	void whatFindsNoServerIsTriedAtThreeMore() {
		SendOutcome absent = new SendOutcome.NotRun(Failure.of(ErrorKind.NO_BACKEND, "gone"), false);
		RequestRetryPolicy rules = rules(false);
		assertThat(IntStream.range(0, 3).allMatch((i) -> rules.shouldRetry(absent, true))).isTrue();
		assertThat(rules.shouldRetry(absent, true)).isFalse();
		assertThat(rules.mayHaveRun()).isFalse();
	}

	/**
	 * A server loses every answer for minutes. Were each lookup sent again, the others
	 * would get twice their load and fall over too.
	 */
	@Test
	void repeatsEndWithTheBudget() {
		long repeats = IntStream.range(0, 100).filter((i) -> rules(true).shouldRetry(LOST, true)).count();
		assertThat(repeats).isEqualTo(2);
	}

	/**
	 * A service that others call declines 55 in 100 calls at random for ten seconds. Each
	 * call is sent once more, and lookups whose calls failed twice are run once more and
	 * call again: repeats that two budgets pay for meet at the service called. Rates are
	 * those of a clearing hall's status lookups, of which each makes one call.
	 */
	@Test
	void repeatsOfLookupsAndOfTheirCallsTogetherStayWithinTheBoundOfTheServiceCalled() {
		Random chance = new Random(241386997);
		ServiceRetryBudget lookups = new ServiceRetryBudget(0.12, 3);
		ServiceRetryBudget calls = new ServiceRetryBudget(0.12, 3);
		int requests = 10_000;
		int first = 0;
		int repeats = 0;
		for (int i = 0; i < requests; i++) {
			lookups.recordRequest();
			RequestRetryPolicy lookup = new RequestRetryPolicy(route(true), lookups);
			boolean rerun = false;
			boolean again = true;
			while (again) {
				calls.recordRequest();
				first += rerun ? 0 : 1;
				repeats += rerun ? 1 : 0;
				RequestRetryPolicy call = new RequestRetryPolicy(route(true), calls);
				boolean declined = chance.nextInt(100) < 55;
				if (declined && call.shouldRetry(DECLINED, true)) {
					repeats++;
					declined = chance.nextInt(100) < 55;
				}
				again = declined && lookup.shouldRetry(FAILED, true);
				rerun = true;
			}
		}
		assertThat(repeats).isAtMost(first / 5);
		assertThat(repeats).isAtLeast(first / 10);
	}

	@Test
	void onceASendMayHaveRunThatIsKnownForGood() {
		RequestRetryPolicy rules = rules(true);
		rules.shouldRetry(LOST, true);
		rules.shouldRetry(TURNED_AWAY, true);
		assertThat(rules.mayHaveRun()).isTrue();
	}

}
