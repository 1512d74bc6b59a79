package org.brasspier.core.evacuation;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class KeyGracePeriodTests {

	private final KeyGracePeriod period = new KeyGracePeriod(Duration.ofSeconds(5), Duration.ofSeconds(2));

	private static long millis(long count) {
		return Duration.ofMillis(count).toNanos();
	}

	/**
	 * Guards against keys that are served on with each message of the same evacuation.
	 */
	@Test
	void aRepeatedRequestToEvacuateDoesNotStartTheGracePeriodAgain() {
		this.period.update(true, true, 0);
		this.period.update(true, true, millis(2400));
		this.period.update(true, true, millis(2600));
		assertThat(this.period.mayServeKeys(millis(2400))).isTrue();
		assertThat(this.period.mayServeKeys(millis(2600))).isFalse();
	}

	@Test
	void aRequestThatMayBeOldStartsNoGracePeriod() {
		this.period.update(true, false, millis(100));
		assertThat(this.period.mayServeKeys(millis(100))).isFalse();
	}

}
