package org.brasspier.core.mesh;

import java.time.Duration;

import org.brasspier.core.InstanceId;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class InstanceBackoffTests {

	private static final InstanceId LOST = new InstanceId("lost");

	private final InstanceBackoff absences = new InstanceBackoff();

	// A machine is taken away for good and its address goes to another service. Its entry
	// stays, and every daemon goes on sending it a share of the requests, for minutes.
	@Test
	void anInstanceThatStaysAwayIsTriedEverMoreSeldom() {
		int tries = 0;
		for (int millis = 0; millis < 20_000; millis += 10) {
			if (!this.absences.shouldAvoid(LOST, nanos(millis))) {
				tries++;
				this.absences.recordFailure(LOST, nanos(millis));
			}
		}
		assertThat(tries).isAtMost(14);
		assertThat(tries).isAtLeast(10);
	}

	@Test
	void anInstanceThatIsBackIsTriedWithinTwoSecondsAndThenAsBefore() {
		for (int i = 0; i < 10; i++) {
			this.absences.recordFailure(LOST, nanos(0));
		}
		assertThat(this.absences.shouldAvoid(LOST, nanos(1_999))).isTrue();
		assertThat(this.absences.shouldAvoid(LOST, nanos(2_000))).isFalse();
		this.absences.recordSuccess(LOST);
		assertThat(this.absences.shouldAvoid(LOST, nanos(0))).isFalse();
		this.absences.recordFailure(LOST, nanos(3_000));
		assertThat(this.absences.shouldAvoid(LOST, nanos(3_200))).isFalse();
	}

	private static long nanos(int millis) {
		return Duration.ofMillis(millis).toNanos();
	}

}
