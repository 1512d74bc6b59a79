package org.brasspier.core.mesh;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LinkDelayTests {

	private final LinkDelay delay = new LinkDelay();

	@Test
	void aMessageAsFastAsTheFirstHasNoExtraDelay() {
		assertThat(delayMillis(10, 12)).isEqualTo(2);
		assertThat(delayMillis(500, 502)).isEqualTo(2);
	}

	// The link between two instances is cut for two seconds while a request is in
	// transit. Its caller leaves meanwhile; the request arrives when the link recovers
	// and states that all its time is left.
	@Test
	void aMessageThatACutLinkDeliversLateExceedsTheTimeout() {
		delayMillis(10, 12);
		long delayMillis = delayMillis(1_000, 3_001);
		assertThat(delayMillis).isEqualTo(2_001);
		assertThat(LinkDelay.exceedsTimeout(Duration.ofMillis(delayMillis).toNanos())).isTrue();
	}

	// The receiver was busy when the connection was opened, so its time started 300 ms
	// late. Later messages seem to arrive before they were sent.
	@Test
	void theFastestMessageIsTheBaselineIfTheReceiverStartedLate() {
		assertThat(delayMillis(350, 52)).isEqualTo(0);
		assertThat(delayMillis(1_000, 702)).isEqualTo(0);
		assertThat(delayMillis(2_000, 2_202)).isEqualTo(500);
	}

	private long delayMillis(long sentMillis, long receivedMillis) {
		return Duration
			.ofNanos(this.delay.delayNanos(Duration.ofMillis(sentMillis).toNanos(),
					Duration.ofMillis(receivedMillis).toNanos()))
			.toMillis();
	}

}
