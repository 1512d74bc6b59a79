package org.brasspier.core.mesh;

import java.time.Duration;

import org.brasspier.core.InstanceId;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class InstanceBackoffTests {

	private static final InstanceId INSTANCE = new InstanceId("lost");

	private final InstanceBackoff backoff = new InstanceBackoff();

	// An instance is lost for good and its address goes to another service. Its entry
	// stays in the directory, and every daemon keeps sending it a share of the requests
	// for minutes.
	@Test
	void triesOfAnUnavailableInstanceBackOff() {
		int tries = 0;
		for (int millis = 0; millis < 20_000; millis += 10) {
			if (!this.backoff.shouldAvoid(INSTANCE, nanos(millis))) {
				tries++;
				this.backoff.recordFailure(INSTANCE, nanos(millis));
			}
		}
		assertThat(tries).isAtMost(14);
		assertThat(tries).isAtLeast(10);
	}

	@Test
	void aRecoveredInstanceIsTriedWithinTwoSecondsAndItsBackoffIsReset() {
		for (int i = 0; i < 10; i++) {
			this.backoff.recordFailure(INSTANCE, nanos(0));
		}
		assertThat(this.backoff.shouldAvoid(INSTANCE, nanos(1_999))).isTrue();
		assertThat(this.backoff.shouldAvoid(INSTANCE, nanos(2_000))).isFalse();
		this.backoff.recordSuccess(INSTANCE);
		assertThat(this.backoff.shouldAvoid(INSTANCE, nanos(0))).isFalse();
		this.backoff.recordFailure(INSTANCE, nanos(3_000));
		assertThat(this.backoff.shouldAvoid(INSTANCE, nanos(3_200))).isFalse();
	}

	private static long nanos(int millis) {
		return Duration.ofMillis(millis).toNanos();
	}

}
