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

class ResendRulesTests {

	private static final SendOutcome LOST = new SendOutcome.Unknown(
			Failure.of(ErrorKind.OUTCOME_UNKNOWN, "the connection broke"));

	private static final SendOutcome DECLINED = new SendOutcome.NotRun(Failure.of(ErrorKind.OVERLOADED, "full"), true);

	private static final SendOutcome TURNED_AWAY = new SendOutcome.NotRun(Failure.of(ErrorKind.OVERLOADED, "full"),
			false);

	private static final SendOutcome FAILED = new SendOutcome.Answered(new Answer(500, List.of(), new byte[0]));

	private final ResendBudget budget = new ResendBudget(0.1, 2);

	private static RouteRule route(boolean idempotent) {
		return new RouteRule("r", "h", "/", idempotent, Duration.ofMillis(500), Duration.ofMillis(200), 1,
				List.of(new WeightedService(new ServiceName("s"), 1)), 2);
	}

	private ResendRules rules(boolean idempotent) {
		return new ResendRules(route(idempotent), this.budget);
	}

	/**
	 * A booking's connection breaks after it was sent. Sent again, it could be booked
	 * twice, and a marina would be billed twice.
	 */
	@Test
	void whatMayNotRunTwiceIsNeverSentAgainIfItMayHaveRun() {
		assertThat(rules(false).again(LOST, true)).isFalse();
		assertThat(rules(false).again(FAILED, true)).isFalse();
		assertThat(rules(false).again(DECLINED, true)).isTrue();
	}

	@Test
	void aLookupIsSentOnceMoreAndNotMoreOftenThanItsRouteAllows() {
		ResendRules rules = rules(true);
		assertThat(rules.again(LOST, true)).isTrue();
		assertThat(rules.again(LOST, true)).isFalse();
	}

	// Guards against daemons that start together, each with the whole slack of the
	// deployment since it knows nobody yet.
	@Test
	void aBudgetThatMoreDaemonsShareIsCutAtOnce() {
		ResendBudget shared = new ResendBudget(0.1, 20);
		shared.mostSaved(2);
		assertThat(IntStream.range(0, 20).filter((i) -> shared.spend()).count()).isEqualTo(2);
	}

	// Guards against a search for a free slot that is taken for refusals and given up.
	@Test
	void serversWithoutAFreeSlotDoNotCountAsRefusals() {
		SendOutcome noFreeSlot = new SendOutcome.NotRun(Failure.of(ErrorKind.NO_FREE_SLOT, "none"), false);
		ResendRules rules = rules(false);
		assertThat(rules.again(noFreeSlot, true)).isTrue();
		assertThat(rules.again(noFreeSlot, true)).isTrue();
		assertThat(rules.again(TURNED_AWAY, true)).isTrue();
		assertThat(rules.again(TURNED_AWAY, true)).isFalse();
	}

	@Test
	void whatComesTooLateIsNotSentAgain() {
		assertThat(rules(true).again(LOST, false)).isFalse();
		assertThat(rules(true).again(TURNED_AWAY, false)).isFalse();
	}

	@Test
	void whatAGateTurnsAwayCostsNoBudgetButIsTriedTwiceAtMost() {
		ResendRules rules = rules(false);
		assertThat(rules.again(TURNED_AWAY, true)).isTrue();
		assertThat(rules.again(TURNED_AWAY, true)).isFalse();
		assertThat(this.budget.spend()).isTrue();
		assertThat(this.budget.spend()).isTrue();
	}

	/**
	 * Two of a service's three servers are gone and their entries are not. A request that
	 * met both was refused though the third server had room.
	 */
	@Test
	void whatFindsNoServerIsTriedAtThreeMore() {
		SendOutcome absent = new SendOutcome.NotRun(Failure.of(ErrorKind.NO_BACKEND, "gone"), false);
		ResendRules rules = rules(false);
		assertThat(IntStream.range(0, 3).allMatch((i) -> rules.again(absent, true))).isTrue();
		assertThat(rules.again(absent, true)).isFalse();
		assertThat(rules.mayHaveRun()).isFalse();
	}

	/**
	 * A server loses every answer for minutes. Were each lookup sent again, the others
	 * would get twice their load and fall over too.
	 */
	@Test
	void repeatsEndWithTheBudget() {
		long repeats = IntStream.range(0, 100).filter((i) -> rules(true).again(LOST, true)).count();
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
		ResendBudget lookups = new ResendBudget(0.12, 3);
		ResendBudget calls = new ResendBudget(0.12, 3);
		int requests = 10_000;
		int first = 0;
		int repeats = 0;
		for (int i = 0; i < requests; i++) {
			lookups.fresh();
			ResendRules lookup = new ResendRules(route(true), lookups);
			boolean rerun = false;
			boolean again = true;
			while (again) {
				calls.fresh();
				first += rerun ? 0 : 1;
				repeats += rerun ? 1 : 0;
				ResendRules call = new ResendRules(route(true), calls);
				boolean declined = chance.nextInt(100) < 55;
				if (declined && call.again(DECLINED, true)) {
					repeats++;
					declined = chance.nextInt(100) < 55;
				}
				again = declined && lookup.again(FAILED, true);
				rerun = true;
			}
		}
		assertThat(repeats).isAtMost(first / 5);
		assertThat(repeats).isAtLeast(first / 10);
	}

	@Test
	void onceASendMayHaveRunThatIsKnownForGood() {
		ResendRules rules = rules(true);
		rules.again(LOST, true);
		rules.again(TURNED_AWAY, true);
		assertThat(rules.mayHaveRun()).isTrue();
	}

}
