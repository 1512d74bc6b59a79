package org.brasspier.core.crash;

import java.time.Duration;
import java.util.Optional;

import org.brasspier.core.keys.BackendIncarnation;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CrashDetectorTests {

	private static final BackendIncarnation FIRST = new BackendIncarnation("first", 1);

	private static final BackendIncarnation SECOND = new BackendIncarnation("second", 2);

	private long crashes;

	private final CrashDetector detector = new CrashDetector(() -> ++this.crashes);

	private static long millis(long count) {
		return Duration.ofMillis(count).toNanos();
	}

	private static RequestFingerprint request(long number) {
		return new RequestFingerprint(number, number, number);
	}

	private Optional<CrashReport> lost(BackendIncarnation server, long number, long nowNanos) {
		return this.detector.onConnectionLost(server, request(number), nowNanos, nowNanos, nowNanos);
	}

	private Optional<CrashReport> ended(BackendIncarnation server, long nowNanos) {
		return this.detector.onServerEnded(server, (request) -> false, nowNanos);
	}

	@Test
	void allRequestsWithoutAnAnswerArePartOfTheCrash() {
		lost(FIRST, 1, millis(0));
		lost(FIRST, 2, millis(1));
		assertThat(ended(FIRST, millis(5)).orElseThrow().requests()).containsExactly(request(1), request(2));
		assertThat(ended(FIRST, millis(6))).isEmpty();
	}

	/** Guards against mistaking connections that the network cuts for crashes. */
	@Test
	void connectionsCutWhileTheServerIsAliveAreNoCrash() {
		lost(FIRST, 1, millis(0));
		this.detector.onAnswer(FIRST, millis(10));
		assertThat(this.detector.hasUnexplainedLosses()).isFalse();
		assertThat(ended(FIRST, millis(20))).isEmpty();
	}

	@Test
	void anAnswerToAnEarlierRequestDoesNotRuleOutACrash() {
		lost(FIRST, 1, millis(10));
		this.detector.onAnswer(FIRST, millis(5));
		assertThat(ended(FIRST, millis(20))).isPresent();
	}

	/**
	 * Guards against mistaking a planned restart long after a cut connection for a crash.
	 */
	@Test
	void aRequestCutOffLongBeforeTheServerEndedIsNotReported() {
		lost(FIRST, 1, millis(0));
		assertThat(ended(FIRST, millis(10_000))).isEmpty();
	}

	@Test
	void theEndOfAnotherIncarnationIsNoCrashOfThisOne() {
		lost(SECOND, 1, millis(0));
		assertThat(ended(FIRST, millis(1))).isEmpty();
		assertThat(ended(SECOND, millis(2))).isPresent();
	}

	@Test
	void aReportHasABoundedNumberOfRequests() {
		for (int i = 0; i < CrashReport.MAX_REQUESTS * 2; i++) {
			lost(FIRST, i, millis(0));
		}
		assertThat(ended(FIRST, millis(1)).orElseThrow().requests()).hasSize(CrashReport.MAX_REQUESTS);
	}

	/**
	 * Guards against a crash that is not counted because the server restarted under its
	 * id and crashed again before it sent a heartbeat.
	 */
	@Test
	void aServerThatRestartsUnderItsIdCanCrashAgain() {
		lost(FIRST, 1, millis(0));
		CrashReport first = ended(FIRST, millis(5)).orElseThrow();
		assertThat(lost(FIRST, 1, millis(30))).isEmpty();
		CrashReport second = ended(FIRST, millis(35)).orElseThrow();
		assertThat(second.id()).isNotEqualTo(first.id());
		assertThat(second.requests()).containsExactly(request(1));
	}

	/** Guards against counting one crash twice because a connection broke late. */
	@Test
	void aConnectionOfTheCrashedProcessThatBreaksLateIsAddedToItsCrash() {
		lost(FIRST, 1, millis(0));
		CrashReport crash = ended(FIRST, millis(5)).orElseThrow();
		CrashReport amended = this.detector.onConnectionLost(FIRST, request(2), millis(-10), millis(-5), millis(20))
			.orElseThrow();
		assertThat(amended.id()).isEqualTo(crash.id());
		assertThat(amended.requests()).containsExactly(request(1), request(2));
		assertThat(this.detector.hasUnexplainedLosses()).isFalse();
	}

	/**
	 * Guards against suspecting a request that was sent on an old connection after the
	 * process had ended.
	 */
	@Test
	void aRequestSentToAProcessThatHasEndedIsNotPartOfTheCrash() {
		lost(FIRST, 1, millis(0));
		ended(FIRST, millis(5));
		assertThat(this.detector.onConnectionLost(FIRST, request(2), millis(-10), millis(6), millis(7))).isEmpty();
		assertThat(ended(FIRST, millis(8))).isEmpty();
	}

	/**
	 * Guards against a crashing request that is never found because its caller leaves
	 * before the server crashes.
	 */
	@Test
	void aRequestAbandonedShortlyBeforeTheCrashIsPartOfIt() {
		this.detector.onAbandoned(FIRST, request(1), millis(0));
		lost(FIRST, 2, millis(50));
		assertThat(ended(FIRST, millis(70)).orElseThrow().requests()).containsExactly(request(1), request(2));
		this.detector.onAbandoned(SECOND, request(1), millis(100));
		assertThat(ended(SECOND, millis(2000)).orElseThrow().requests()).containsExactly(request(1));
	}

	/** Guards against suspecting each request whose caller left some time ago. */
	@Test
	void aRequestAbandonedBeforeALaterOneWasAnsweredIsNotPartOfTheCrash() {
		this.detector.onAbandoned(FIRST, request(1), millis(0));
		this.detector.onAnswer(FIRST, millis(999));
		assertThat(ended(FIRST, millis(1000))).isPresent();
		this.detector.onAbandoned(SECOND, request(1), millis(2000));
		this.detector.onAnswer(SECOND, millis(3001));
		assertThat(ended(SECOND, millis(3100))).isEmpty();
	}

	/**
	 * Guards against taking a planned end for a crash because callers had left before.
	 */
	@Test
	void theEndOfALeavingServerIsNoCrashOfAbandonedRequests() {
		this.detector.onAbandoned(FIRST, request(1), millis(0));
		this.detector.onLeaving(FIRST);
		this.detector.onAbandoned(FIRST, request(2), millis(10));
		assertThat(ended(FIRST, millis(20))).isEmpty();
		lost(SECOND, 3, millis(30));
		assertThat(ended(SECOND, millis(40))).isPresent();
	}

	/**
	 * Guards against leaving the culprit out of the report of a server with many
	 * requests.
	 */
	@Test
	void requestsOfEarlierCrashesAreReportedFirst() {
		int last = CrashReport.MAX_REQUESTS * 2;
		for (int i = 0; i <= last; i++) {
			lost(FIRST, i, millis(0));
		}
		CrashReport report = this.detector.onServerEnded(FIRST, request(last)::equals, millis(1)).orElseThrow();
		assertThat(report.requests()).hasSize(CrashReport.MAX_REQUESTS);
		assertThat(report.requests()).contains(request(last));
	}

}
