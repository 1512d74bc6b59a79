package org.brasspier.core.crash;

import java.time.Duration;

import org.brasspier.core.keys.BackendIncarnation;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CrashDetectorTests {

	private static final BackendIncarnation FIRST = new BackendIncarnation("first", 1);

	private static final BackendIncarnation SECOND = new BackendIncarnation("second", 2);

	private final CrashDetector watch = new CrashDetector();

	private static long millis(long count) {
		return Duration.ofMillis(count).toNanos();
	}

	@Test
	void allThatWasCutOffIsPartOfTheCrash() {
		this.watch.onConnectionLost(FIRST, 1, millis(0));
		this.watch.onConnectionLost(FIRST, 2, millis(1));
		assertThat(this.watch.onServerEnded(FIRST, millis(5)).orElseThrow().requests()).containsExactly(1L, 2L);
		assertThat(this.watch.onServerEnded(FIRST, millis(6))).isEmpty();
	}

	/** Guards against networks that cut connections and are taken for crashes. */
	@Test
	void connectionsThatAreCutWhileTheServerLivesAreNoCrash() {
		this.watch.onConnectionLost(FIRST, 1, millis(0));
		this.watch.onAnswer(FIRST, millis(10));
		assertThat(this.watch.hasUnexplainedLosses()).isFalse();
		assertThat(this.watch.onServerEnded(FIRST, millis(20))).isEmpty();
	}

	@Test
	void anAnswerThatWasOnItsWayBeforeTheCrashProvesNothing() {
		this.watch.onConnectionLost(FIRST, 1, millis(10));
		this.watch.onAnswer(FIRST, millis(5));
		assertThat(this.watch.onServerEnded(FIRST, millis(20))).isPresent();
	}

	/** Guards against a planned restart long after a cut that is taken for a crash. */
	@Test
	void whatWasCutOffLongBeforeTheServerEndedIsNoPartOfIt() {
		this.watch.onConnectionLost(FIRST, 1, millis(0));
		assertThat(this.watch.onServerEnded(FIRST, millis(10_000))).isEmpty();
	}

	@Test
	void theEndOfAnotherLifeIsNoCrashOfThisOne() {
		this.watch.onConnectionLost(SECOND, 1, millis(0));
		assertThat(this.watch.onServerEnded(FIRST, millis(1))).isEmpty();
		assertThat(this.watch.onServerEnded(SECOND, millis(2))).isPresent();
	}

	@Test
	void aReportNamesABoundedNumberOfRequests() {
		for (int i = 0; i < CrashReport.MAX_REQUESTS * 2; i++) {
			this.watch.onConnectionLost(FIRST, i, millis(0));
		}
		assertThat(this.watch.onServerEnded(FIRST, millis(1)).orElseThrow().requests())
			.hasSize(CrashReport.MAX_REQUESTS);
	}

}
