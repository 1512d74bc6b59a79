package org.brasspier.core.mesh;

import java.time.Duration;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RowRequestThrottleTests {

	private final RowRequestThrottle requests = new RowRequestThrottle();

	private static long millis(long count) {
		return Duration.ofMillis(count).toNanos();
	}

	/**
	 * Load: a daemon with connections to 73 others, all of which say within some
	 * milliseconds that they know more.
	 */
	@Test
	void ofManyWhoKnowMoreOneIsAsked() {
		long asked = IntStream.range(0, 73).filter((peer) -> this.requests.tryRequest(millis(peer))).count();
		assertThat(asked).isEqualTo(1);
	}

	/**
	 * Guards against a daemon that stays behind because the one that it asked is lost.
	 */
	@Test
	void anotherOneIsAskedWhereNoAnswerComes() {
		this.requests.tryRequest(0);
		assertThat(this.requests.tryRequest(millis(999))).isFalse();
		assertThat(this.requests.tryRequest(millis(1000))).isTrue();
	}

	@Test
	void whoWasAnsweredMayAskAtOnce() {
		this.requests.tryRequest(0);
		this.requests.onRowsReceived();
		assertThat(this.requests.tryRequest(millis(1))).isTrue();
	}

}
