package org.brasspier.core.mesh;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LinkDelayTests {

	private final LinkDelay delay = new LinkDelay();

	@Test
	void aMessageThatComesAsQuicklyAsTheFirstWasNotHeldUp() {
		assertThat(came(10, 12)).isEqualTo(2);
		assertThat(came(500, 502)).isEqualTo(2);
	}

	// The link between two machines is cut for two seconds while a request is on it. Its
	// caller leaves meanwhile; the request comes as the link heals, and says that it has
	// all its time left.
	@Test
	void whatALinkThatWasCutDeliversLateWasHeldUpAndIsGivenUp() {
		came(10, 12);
		long held = came(1_000, 3_001);
		assertThat(held).isEqualTo(2_001);
		assertThat(LinkDelay.exceedsTimeout(Duration.ofMillis(held).toNanos())).isTrue();
	}

	// The receiver was busy as the connection came in, so it began to count 300 ms late.
	// Messages after that seem to come before they were sent.
	@Test
	void aReceiverThatBeganToCountLateTakesTheQuickestMessageAsItsMeasure() {
		assertThat(came(350, 52)).isEqualTo(0);
		assertThat(came(1_000, 702)).isEqualTo(0);
		assertThat(came(2_000, 2_202)).isEqualTo(500);
	}

	private long came(long sentMillis, long receivedMillis) {
		return Duration
			.ofNanos(this.delay.delayNanos(Duration.ofMillis(sentMillis).toNanos(),
					Duration.ofMillis(receivedMillis).toNanos()))
			.toMillis();
	}

}
