package org.brasspier.standins;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;

import org.brasspier.standins.ServerRecord.Kind;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Checks that each invariant's violation is found, and that a correct history has none.
 */
class HistoryCheckerTests {

	private static final String ALL = "00000000-ffffffff";

	@Test
	void aHistoryWithoutFaultHasNoViolation() {
		List<ServerRecord> servers = List.of(grant(1, "a", 5), order(Kind.BEGAN, 2, "a", "id-1", 5),
				order(Kind.TOOK_EFFECT, 3, "a", "id-1", 5), grant(10, "b", 8), order(Kind.BEGAN, 11, "b", "id-2", 8),
				order(Kind.TOOK_EFFECT, 12, "b", "id-2", 8));
		List<CallerRecord> callers = List.of(caller(answered("id-1", 1, 4)), caller(answered("id-2", 10, 13)));
		assertThat(check(servers, callers)).isEmpty();
	}

	@Test
	void anEffectAfterTheNextOwnerBeganIsTwoOwners() {
		assertThat(check(List.of(order(Kind.BEGAN, 1, "a", "id-1", 5), order(Kind.BEGAN, 2, "b", "id-2", 8),
				order(Kind.TOOK_EFFECT, 3, "a", "id-1", 5)), List.of()))
			.containsExactly(Violation.Invariant.ONE_OWNER);
	}

	@Test
	void twoServersUnderOneFenceAreTwoOwners() {
		assertThat(check(List.of(order(Kind.BEGAN, 1, "a", "id-1", 5), order(Kind.TOOK_EFFECT, 2, "a", "id-1", 5),
				order(Kind.BEGAN, 3, "b", "id-2", 5), order(Kind.TOOK_EFFECT, 4, "b", "id-2", 5)), List.of()))
			.contains(Violation.Invariant.ONE_OWNER);
	}

	@Test
	void anOrderThatBeginsUnderAReplacedFenceIsFound() {
		assertThat(check(List.of(order(Kind.BEGAN, 1, "b", "id-1", 8), order(Kind.BEGAN, 2, "a", "id-2", 5),
				order(Kind.NOT_RUN, 3, "a", "id-2", 5)), List.of()))
			.containsExactly(Violation.Invariant.NO_STALE_FENCE);
	}

	@Test
	void aPostingThatTookEffectTwiceIsFound() {
		assertThat(check(List.of(order(Kind.BEGAN, 1, "a", "id-1", 5), order(Kind.TOOK_EFFECT, 2, "a", "id-1", 5),
				order(Kind.BEGAN, 3, "a", "id-1", 5), order(Kind.TOOK_EFFECT, 4, "a", "id-1", 5)), List.of()))
			.containsExactly(Violation.Invariant.RUNS_ONCE);
	}

	// Guards against a shed order that hides an effect. A request is resent while its
	// first order still runs on a server whose queue is full: the second order is
	// shed, the first takes effect and is answered.
	@Test
	void aShedSecondOrderDoesNotHideTheEffectOfTheFirst() {
		List<ServerRecord> servers = List.of(order(Kind.BEGAN, 1, "a", "id-1", 5),
				order(Kind.NOT_RUN, 2, "a", "id-1", 5), order(Kind.TOOK_EFFECT, 3, "a", "id-1", 5));
		assertThat(check(servers, List.of(caller(answered("id-1", 1, 4))))).isEmpty();
		List<ServerRecord> twice = List.of(order(Kind.BEGAN, 1, "a", "id-1", 5), order(Kind.NOT_RUN, 2, "a", "id-1", 5),
				order(Kind.TOOK_EFFECT, 3, "a", "id-1", 5), order(Kind.BEGAN, 5, "b", "id-1", 8),
				order(Kind.TOOK_EFFECT, 6, "b", "id-1", 8));
		assertThat(check(twice, List.of())).containsExactly(Violation.Invariant.RUNS_ONCE);
	}

	@Test
	void aPostingThatMayHaveRunOnALostServerAndRunsAgainIsFound() {
		assertThat(check(List.of(order(Kind.BEGAN, 1, "a", "id-1", 5), order(Kind.BEGAN, 3, "b", "id-1", 8),
				order(Kind.TOOK_EFFECT, 4, "b", "id-1", 8)), List.of()))
			.containsExactly(Violation.Invariant.RUNS_ONCE);
	}

	@Test
	void aPostingSentAgainUnderANewIdThoughItHadRunIsFound() {
		assertThat(check(
				List.of(order(Kind.BEGAN, 1, "a", "id-1", 5), order(Kind.TOOK_EFFECT, 2, "a", "id-1", 5),
						order(Kind.BEGAN, 3, "a", "id-1~1", 5), order(Kind.TOOK_EFFECT, 4, "a", "id-1~1", 5)),
				List.of()))
			.containsExactly(Violation.Invariant.RUNS_ONCE);
	}

	@Test
	void aPostingThatTheServerRefusedMayRunLater() {
		assertThat(check(List.of(order(Kind.BEGAN, 1, "a", "id-1", 5), order(Kind.NOT_RUN, 2, "a", "id-1", 5),
				order(Kind.BEGAN, 3, "b", "id-1", 8), order(Kind.TOOK_EFFECT, 4, "b", "id-1", 8)), List.of()))
			.isEmpty();
	}

	@Test
	void theAnswerToAnotherRequestIsFound() {
		Attempt foreign = attempt("id-1", 1, 4, 200, Attempt.RAN, false);
		assertThat(check(ran("id-1"), List.of(caller(foreign)))).containsExactly(Violation.Invariant.OWN_ANSWER);
	}

	@Test
	void anAnswerWithoutAnEffectIsFound() {
		assertThat(check(List.of(), List.of(caller(answered("id-1", 1, 4)))))
			.containsExactly(Violation.Invariant.ANSWERED_HAS_RUN);
	}

	@Test
	void aRequestThatWasRefusedAsNotRunAndRanIsFound() {
		Attempt refused = attempt("id-1", 1, 4, 503, Attempt.NOT_RUN, false);
		assertThat(check(ran("id-1"), List.of(caller(refused)))).containsExactly(Violation.Invariant.NOT_RUN_IS_TRUE);
	}

	@Test
	void aRequestThatRanOnItsSecondSendingWasRightlyRefusedOnTheFirst() {
		Attempt refused = attempt("id-1", 1, 1, 503, Attempt.NOT_RUN, false);
		assertThat(check(ran("id-1"), List.of(caller(refused, answered("id-1", 2, 4))))).isEmpty();
	}

	@Test
	void anAssignmentThatGoesBackToAnOlderOneIsFound() {
		assertThat(check(List.of(grant(1, "b", 8), grant(2, "a", 5)), List.of()))
			.containsExactly(Violation.Invariant.ASSIGNMENT_KEPT);
	}

	@Test
	void aConfigurationThatRevertsIsFound() {
		List<DocumentVersionReport> readings = List.of(new DocumentVersionReport(1, "a", 3),
				new DocumentVersionReport(2, "b", 2), new DocumentVersionReport(3, "a", 0),
				new DocumentVersionReport(4, "a", 2));
		assertThat(HistoryChecker.checkDocuments(readings).stream().map(Violation::invariant).toList())
			.containsExactly(Violation.Invariant.CONFIGURATION_KEPT);
	}

	private static List<Violation.Invariant> check(List<ServerRecord> servers, List<CallerRecord> callers) {
		return HistoryChecker.check(servers, callers, Set.of("hullbook"))
			.stream()
			.map(Violation::invariant)
			.distinct()
			.toList();
	}

	private static List<ServerRecord> ran(String id) {
		return List.of(order(Kind.BEGAN, 2, "a", id, 5), order(Kind.TOOK_EFFECT, 3, "a", id, 5));
	}

	private static ServerRecord grant(long at, String server, long fence) {
		return new ServerRecord(Kind.GRANTED, at, server, "1", "hullbook", "", "", "", fence, ALL, "");
	}

	private static ServerRecord order(Kind kind, long at, String server, String id, long fence) {
		return new ServerRecord(kind, at, server, "1", "hullbook", id, "key", "posting", fence, ALL, "");
	}

	private static CallerRecord caller(Attempt... attempts) {
		return new CallerRecord(StandInRequest.posting("hullbook", "key", attempts[0].id()), List.of(attempts));
	}

	private static Attempt answered(String id, long sent, long end) {
		return attempt(id, sent, end, 200, Attempt.RAN, true);
	}

	private static Attempt attempt(String id, long sent, long end, int status, String ran, boolean own) {
		return new Attempt(id, new InetSocketAddress("127.0.0.1", 1), sent, end, status, ran, "", own, "", 0);
	}

}
