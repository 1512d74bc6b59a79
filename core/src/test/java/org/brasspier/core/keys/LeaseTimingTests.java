package org.brasspier.core.keys;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LeaseTimingTests {

	/**
	 * A platform limits holds to three seconds. It would reject whole answers that grant
	 * four seconds, and no key would ever be served.
	 */
	@Test
	void holdIsLimitedByThePlatform() {
		LeaseTiming bounded = LeaseTiming.DEFAULT.withMaxHold(Duration.ofSeconds(3));
		assertThat(bounded.hold()).isEqualTo(Duration.ofSeconds(3));
		assertThat(bounded.promise()).isEqualTo(Duration.ofSeconds(3));
		assertThat(bounded.lease()).isEqualTo(LeaseTiming.DEFAULT.lease());
	}

	@Test
	void longerLimitChangesNothing() {
		assertThat(LeaseTiming.DEFAULT.withMaxHold(Duration.ofSeconds(10))).isEqualTo(LeaseTiming.DEFAULT);
	}

}
