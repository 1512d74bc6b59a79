package org.brasspier.core.event;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Timestamps order events consistently with cause and effect.
 */
class HybridClockTests {

	@Test
	void anEffectHasALaterTimestampThanItsCauseEvenIfTheReceiversClockIsBehind() {
		HybridClock sender = new HybridClock();
		HybridClock receiver = new HybridClock();
		HybridTime cause = sender.tick(10_000);
		receiver.receive(9_000, cause);
		assertThat(receiver.tick(9_000)).isGreaterThan(cause);
	}

	@Test
	void timestampsIncreaseWithinAMillisecondAndWhenTheClockIsSetBack() {
		HybridClock clock = new HybridClock();
		HybridTime first = clock.tick(10_000);
		HybridTime second = clock.tick(10_000);
		HybridTime third = clock.tick(9_000);
		assertThat(second).isGreaterThan(first);
		assertThat(third).isGreaterThan(second);
	}

	@Test
	void aTimestampFarInTheFutureIsIgnored() {
		HybridClock clock = new HybridClock();
		clock.receive(10_000, new HybridTime(9_000_000_000_000L << HybridTime.COUNTER_BITS));
		assertThat(clock.tick(10_001).millis()).isEqualTo(10_001);
	}

}
