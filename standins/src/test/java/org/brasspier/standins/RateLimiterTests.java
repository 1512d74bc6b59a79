package org.brasspier.standins;

import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RateLimiterTests {

	@Test
	void callsBeyondTheRateAreTurnedAwayUntilTimePasses() {
		RateLimiter limit = new RateLimiter(400, 0);
		assertThat(IntStream.range(0, 1000).filter((i) -> limit.tryAcquire(0)).count()).isEqualTo(400);
		long later = TimeUnit.MILLISECONDS.toNanos(500);
		assertThat(IntStream.range(0, 1000).filter((i) -> limit.tryAcquire(later)).count()).isEqualTo(200);
	}

}
