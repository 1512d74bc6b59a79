package org.brasspier.core.mesh;

import java.time.Duration;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class FeedTimingTests {

	private final FeedTiming pace = new FeedTiming();

	/**
	 * Guards against feeds that all hang at the same time after they were answered at the
	 * same time.
	 */
	@Test
	void feedsThatWereAnsweredTogetherEndOneAfterTheOther() {
		this.pace.onAnswer(true);
		long different = IntStream.range(0, 12)
			.mapToObj((position) -> this.pace.nextWait(position, 12))
			.distinct()
			.count();
		assertThat(different).isEqualTo(12);
		assertThat(this.pace.nextWait(11, 12)).isEqualTo(Duration.ofSeconds(6));
	}

	@Test
	void anUndisturbedFeedWaitsLong() {
		this.pace.onAnswer(false);
		assertThat(this.pace.nextWait(0, 12)).isEqualTo(Duration.ofSeconds(6));
		assertThat(this.pace.nextWait(0, 80)).isEqualTo(Duration.ofSeconds(6));
	}

	/** Guards against a silent connection that few daemons would notice too late. */
	@Test
	void aFeedAmongFewWaitsShorter() {
		this.pace.onAnswer(false);
		assertThat(this.pace.nextWait(0, 1)).isEqualTo(Duration.ofSeconds(1));
		assertThat(this.pace.nextWait(0, 4)).isEqualTo(Duration.ofSeconds(2));
	}

	/** Guards against a second long call into an outage that ends soon. */
	@Test
	void afterAFailureAnswersAreAskedForAtOnceUntilOneComes() {
		this.pace.onAnswer(false);
		this.pace.onFailure(Duration.ofSeconds(7));
		assertThat(this.pace.nextWait(3, 12)).isEqualTo(Duration.ZERO);
		this.pace.onFailure(Duration.ofSeconds(1));
		assertThat(this.pace.nextWait(3, 12)).isEqualTo(Duration.ZERO);
		this.pace.onAnswer(false);
		assertThat(this.pace.nextWait(3, 12)).isEqualTo(Duration.ofSeconds(2));
	}

	@Test
	void aStoreThatTurnsCallsAwayIsAskedLessOften() {
		Duration took = Duration.ofMillis(4);
		assertThat(this.pace.onFailure(took)).isEqualTo(Duration.ofMillis(100));
		assertThat(this.pace.onFailure(took)).isEqualTo(Duration.ofMillis(196));
		assertThat(this.pace.onFailure(took)).isEqualTo(Duration.ofMillis(396));
		assertThat(this.pace.onFailure(took)).isEqualTo(Duration.ofMillis(796));
		assertThat(this.pace.onFailure(took)).isEqualTo(Duration.ofMillis(796));
	}

	@Test
	void aCallThatHungIsFollowedByTheNextAtOnce() {
		IntStream.range(0, 5).forEach((each) -> this.pace.onFailure(Duration.ofMillis(4)));
		assertThat(this.pace.onFailure(Duration.ofMillis(1500))).isEqualTo(Duration.ofMillis(100));
	}

	@Test
	void doubtIsNewsOnlyOnce() {
		this.pace.onAnswer(false);
		assertThat(this.pace.markSuspect()).isTrue();
		assertThat(this.pace.markSuspect()).isFalse();
		assertThat(this.pace.nextWait(0, 12)).isEqualTo(Duration.ZERO);
		this.pace.onAnswer(false);
		assertThat(this.pace.markSuspect()).isTrue();
	}

	@Test
	void aPlaceBeyondTheNumberIsRefused() {
		assertThrows(IllegalArgumentException.class, () -> this.pace.nextWait(2, 2));
	}

}
