package org.brasspier.core.mesh;

import java.time.Duration;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RowRequestThrottleTests {

	private final RowRequestThrottle throttle = new RowRequestThrottle();

	private static long millis(long count) {
		return Duration.ofMillis(count).toNanos();
	}

	/**
	 * A daemon has connections to 73 others, all of which report newer rows within some
	 * milliseconds.
	 */
	@Test
	void onlyOneOfManyDaemonsWithNewerRowsIsAsked() {
		long asked = IntStream.range(0, 73).filter((peer) -> this.throttle.tryRequest(millis(peer))).count();
		assertThat(asked).isEqualTo(1);
	}

	/**
	 * Guards against a daemon that stays behind because the daemon that it asked is lost.
	 */
	@Test
	void anotherDaemonIsAskedIfNoAnswerArrives() {
		this.throttle.tryRequest(0);
		assertThat(this.throttle.tryRequest(millis(999))).isFalse();
		assertThat(this.throttle.tryRequest(millis(1000))).isTrue();
	}

	@Test
	void theNextRequestMayFollowAnAnswerImmediately() {
		this.throttle.tryRequest(0);
		this.throttle.onRowsReceived();
		assertThat(this.throttle.tryRequest(millis(1))).isTrue();
	}

}
