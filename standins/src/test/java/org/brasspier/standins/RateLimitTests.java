package org.brasspier.standins;

import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RateLimitTests {

	@Test
	void callsBeyondTheRateAreTurnedAwayUntilTimePasses() {
		RateLimit limit = new RateLimit(400, 0);
		assertThat(IntStream.range(0, 1000).filter((i) -> limit.pass(0)).count()).isEqualTo(400);
		long later = TimeUnit.MILLISECONDS.toNanos(500);
		assertThat(IntStream.range(0, 1000).filter((i) -> limit.pass(later)).count()).isEqualTo(200);
	}

}
