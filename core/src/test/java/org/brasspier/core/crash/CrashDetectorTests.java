package org.brasspier.core.crash;

import java.time.Duration;

import org.brasspier.core.keys.BackendIncarnation;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CrashDetectorTests {

	private static final BackendIncarnation FIRST = new BackendIncarnation("first", 1);

	private static final BackendIncarnation SECOND = new BackendIncarnation("second", 2);

	private final CrashDetector detector = new CrashDetector();

	private static long millis(long count) {
		return Duration.ofMillis(count).toNanos();
	}

	@Test
	void allRequestsWithoutAnAnswerArePartOfTheCrash() {
		this.detector.onConnectionLost(FIRST, 1, millis(0));
		this.detector.onConnectionLost(FIRST, 2, millis(1));
		assertThat(this.detector.onServerEnded(FIRST, millis(5)).orElseThrow().requests()).containsExactly(1L, 2L);
		assertThat(this.detector.onServerEnded(FIRST, millis(6))).isEmpty();
	}

	/** Guards against mistaking connections that the network cuts for crashes. */
	@Test
	void connectionsCutWhileTheServerIsAliveAreNoCrash() {
		this.detector.onConnectionLost(FIRST, 1, millis(0));
		this.detector.onAnswer(FIRST, millis(10));
		assertThat(this.detector.hasUnexplainedLosses()).isFalse();
		assertThat(this.detector.onServerEnded(FIRST, millis(20))).isEmpty();
	}

	@Test
	void anAnswerToAnEarlierRequestDoesNotRuleOutACrash() {
		this.detector.onConnectionLost(FIRST, 1, millis(10));
		this.detector.onAnswer(FIRST, millis(5));
		assertThat(this.detector.onServerEnded(FIRST, millis(20))).isPresent();
	}

	/**
	 * Guards against mistaking a planned restart long after a cut connection for a crash.
	 */
	@Test
	void aRequestCutOffLongBeforeTheServerEndedIsNotReported() {
		this.detector.onConnectionLost(FIRST, 1, millis(0));
		assertThat(this.detector.onServerEnded(FIRST, millis(10_000))).isEmpty();
	}

	@Test
	void theEndOfAnotherIncarnationIsNoCrashOfThisOne() {
		this.detector.onConnectionLost(SECOND, 1, millis(0));
		assertThat(this.detector.onServerEnded(FIRST, millis(1))).isEmpty();
		assertThat(this.detector.onServerEnded(SECOND, millis(2))).isPresent();
	}

	@Test
	void aReportHasABoundedNumberOfRequests() {
		for (int i = 0; i < CrashReport.MAX_REQUESTS * 2; i++) {
			this.detector.onConnectionLost(FIRST, i, millis(0));
		}
		assertThat(this.detector.onServerEnded(FIRST, millis(1)).orElseThrow().requests())
			.hasSize(CrashReport.MAX_REQUESTS);
	}

}
