package org.brasspier.core.coldstart;

import java.time.Duration;
import java.util.OptionalDouble;

import org.brasspier.core.limit.AnnouncedLimit;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CombinedStartLimitTests {

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private final AnnouncedLimit slower = limit(1);

	private final AnnouncedLimit faster = limit(10);

	private static AnnouncedLimit limit(double perSecond) {
		AnnouncedLimit limit = new AnnouncedLimit(0);
		limit.onAnswer(OptionalDouble.of(perSecond), 0, 0);
		return limit;
	}

	/** Guards against a limit that the other one hides. */
	@Test
	void theSlowerLimitDecidesAndBothCount() {
		CombinedStartLimit both = new CombinedStartLimit(this.faster, this.slower);
		assertThat(both.mayStart(0)).isTrue();
		both.onStarted();
		both.onSent(0);
		assertThat(both.mayStart(SECOND / 2)).isFalse();
		assertThat(this.faster.mayStart(SECOND / 2)).isTrue();
		assertThat(both.expectedWait(1, SECOND / 2)).isEqualTo(this.slower.expectedWait(1, SECOND / 2));
		assertThat(both.interval()).isEqualTo(Duration.ofSeconds(1));
		assertThat(both.mayStart(SECOND)).isTrue();
	}

	/** Guards against requests that were never sent and use up the limit. */
	@Test
	void aRequestThatIsNotSentUsesUpNothing() {
		CombinedStartLimit both = new CombinedStartLimit(this.faster, this.slower);
		both.onStarted();
		both.onNotSent();
		assertThat(both.mayStart(0)).isTrue();
	}

}
