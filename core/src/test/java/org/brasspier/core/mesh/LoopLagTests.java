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
	void aLoopThatKeepsUpUsesTheStatedTime() {
		this.lag.onTick(millis(100), millis(101));
		assertThat(this.lag.remainingMillis(500, millis(105))).isAtLeast(498);
		assertThat(this.lag.shouldShed(millis(105))).isFalse();
	}

	/**
	 * A restarted daemon gets full load before its code is compiled. Its loop falls 800
	 * ms behind; requests whose callers had 130 ms left reached their backend server long
	 * after the callers had left.
	 */
	@Test
	void aRequestThatWaitedUnreadHasLessTimeThanItStates() {
		this.lag.onTick(millis(100), millis(900));
		assertThat(this.lag.remainingMillis(130, millis(910))).isEqualTo(0);
		assertThat(this.lag.shouldShed(millis(910))).isTrue();
	}

	@Test
	void anOverdueTickCountsBeforeItFires() {
		this.lag.onTick(millis(100), millis(100));
		assertThat(this.lag.shouldShed(millis(400))).isTrue();
	}

	/**
	 * The loop was blocked for 2.6 seconds, and queued requests were read before its
	 * timer fired. A tick that was more than a second overdue was mistaken for a stopped
	 * timer, so the worst delay counted as none, and 30 requests reached backend servers
	 * seconds after their callers had left.
	 */
	@Test
	void aTickOverdueBySecondsCountsInFull() {
		this.lag.onTick(millis(100), millis(100));
		assertThat(this.lag.shouldShed(millis(2700))).isTrue();
		assertThat(this.lag.remainingMillis(500, millis(2700))).isEqualTo(0);
	}

	@Test
	void timeInWhichTheTimerWasStoppedIsNoLag() {
		this.lag.onTick(millis(100), millis(300));
		this.lag.onTick(millis(5000), millis(5000));
		assertThat(this.lag.shouldShed(millis(5000))).isFalse();
		assertThat(this.lag.remainingMillis(500, millis(5000))).isEqualTo(500);
	}

}
