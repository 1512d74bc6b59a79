package org.brasspier.core.keys;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LeaseTimingTests {

	/**
	 * A platform bounds holds to three seconds. Answers that grant four would be rejected
	 * whole, and no key would ever be served.
	 */
	@Test
	void noHoldIsLongerThanThePlatformAllows() {
		LeaseTiming bounded = LeaseTiming.DEFAULT.withMaxHold(Duration.ofSeconds(3));
		assertThat(bounded.hold()).isEqualTo(Duration.ofSeconds(3));
		assertThat(bounded.promise()).isEqualTo(Duration.ofSeconds(3));
		assertThat(bounded.lease()).isEqualTo(LeaseTiming.DEFAULT.lease());
	}

	@Test
	void aLongerBoundChangesNothing() {
		assertThat(LeaseTiming.DEFAULT.withMaxHold(Duration.ofSeconds(10))).isEqualTo(LeaseTiming.DEFAULT);
	}

}
