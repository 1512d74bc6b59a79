package org.brasspier.core.crash;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class SuspectTurnsTests {

	private static final Duration RUN = Duration.ofMillis(60);

	private final SuspectTurns turns = new SuspectTurns(0);

	/** Guards against suspects that are all told to come back at the same time. */
	@Test
	void eachRefusedRequestGetsALaterTurn() {
		assertThat(this.turns.reserve(RUN, 0)).isEqualTo(Duration.ofMillis(60));
		assertThat(this.turns.reserve(RUN, 0)).isEqualTo(Duration.ofMillis(120));
		assertThat(this.turns.reserve(RUN, Duration.ofMillis(100).toNanos())).isEqualTo(Duration.ofMillis(80));
	}

	@Test
	void turnsThatHavePassedAreNotCounted() {
		this.turns.reserve(RUN, 0);
		assertThat(this.turns.reserve(RUN, Duration.ofSeconds(5).toNanos())).isEqualTo(RUN);
	}

}
