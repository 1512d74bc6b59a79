package org.brasspier.core.mesh;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LoopLagTests {

	private final LoopLag lag = new LoopLag();

	private static long millis(long count) {
		return Duration.ofMillis(count).toNanos();
	}

	@Test
	void aLoopThatKeepsUpTakesRequestsAtTheirWord() {
		this.lag.ticked(millis(100), millis(101));
		assertThat(this.lag.remainingMillis(500, millis(105))).isAtLeast(498);
		assertThat(this.lag.shedding(millis(105))).isFalse();
	}

	/**
	 * A restarted daemon is given a full load before its code is warm. Its loop falls 800
	 * ms behind; requests whose callers had 130 ms left reached their backend server long
	 * after the callers had gone.
	 */
	@Test
	void aRequestThatWaitedUnreadHasLessTimeThanItSays() {
		this.lag.ticked(millis(100), millis(900));
		assertThat(this.lag.remainingMillis(130, millis(910))).isEqualTo(0);
		assertThat(this.lag.shedding(millis(910))).isTrue();
	}

	@Test
	void aTickThatIsOverdueCountsBeforeItComes() {
		this.lag.ticked(millis(100), millis(100));
		assertThat(this.lag.shedding(millis(400))).isTrue();
	}

	@Test
	void aTimerThatRestsSaysNothing() {
		this.lag.ticked(millis(100), millis(300));
		assertThat(this.lag.shedding(millis(5000))).isFalse();
	}

}
