package org.brasspier.core.crash;

import java.time.Duration;

import org.brasspier.core.keys.BackendLife;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CrashWatchTests {

	private static final BackendLife FIRST = new BackendLife("first", 1);

	private static final BackendLife SECOND = new BackendLife("second", 2);

	private final CrashWatch watch = new CrashWatch();

	private static long millis(long count) {
		return Duration.ofMillis(count).toNanos();
	}

	@Test
	void allThatWasCutOffIsPartOfTheCrash() {
		this.watch.broke(FIRST, 1, millis(0));
		this.watch.broke(FIRST, 2, millis(1));
		assertThat(this.watch.ended(FIRST, millis(5)).orElseThrow().requests()).containsExactly(1L, 2L);
		assertThat(this.watch.ended(FIRST, millis(6))).isEmpty();
	}

	/** Guards against networks that cut connections and are taken for crashes. */
	@Test
	void connectionsThatAreCutWhileTheServerLivesAreNoCrash() {
		this.watch.broke(FIRST, 1, millis(0));
		this.watch.answered(FIRST, millis(10));
		assertThat(this.watch.doubtful()).isFalse();
		assertThat(this.watch.ended(FIRST, millis(20))).isEmpty();
	}

	@Test
	void anAnswerThatWasOnItsWayBeforeTheCrashProvesNothing() {
		this.watch.broke(FIRST, 1, millis(10));
		this.watch.answered(FIRST, millis(5));
		assertThat(this.watch.ended(FIRST, millis(20))).isPresent();
	}

	/** Guards against a planned restart long after a cut that is taken for a crash. */
	@Test
	void whatWasCutOffLongBeforeTheServerEndedIsNoPartOfIt() {
		this.watch.broke(FIRST, 1, millis(0));
		assertThat(this.watch.ended(FIRST, millis(10_000))).isEmpty();
	}

	@Test
	void theEndOfAnotherLifeIsNoCrashOfThisOne() {
		this.watch.broke(SECOND, 1, millis(0));
		assertThat(this.watch.ended(FIRST, millis(1))).isEmpty();
		assertThat(this.watch.ended(SECOND, millis(2))).isPresent();
	}

	@Test
	void aReportNamesABoundedNumberOfRequests() {
		for (int i = 0; i < CrashReport.MAX_REQUESTS * 2; i++) {
			this.watch.broke(FIRST, i, millis(0));
		}
		assertThat(this.watch.ended(FIRST, millis(1)).orElseThrow().requests()).hasSize(CrashReport.MAX_REQUESTS);
	}

}
