package org.brasspier.core.stop;

import java.time.Duration;

import org.brasspier.core.stop.StopPlan.Decision;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class StopPlanTests {

	private static final StopPlan PLAN = new StopPlan(0, Duration.ofMillis(2500), Duration.ofMillis(5000));

	private static Decision decide(boolean idempotent, long longest, long usual, long elapsed) {
		return PLAN.decide(idempotent, Duration.ofMillis(longest), Duration.ofMillis(usual),
				Duration.ofMillis(elapsed).toNanos());
	}

	/** Guards against callers that are turned away before they can know of the stop. */
	@ParameterizedTest
	@CsvSource({ "true,2000,2000", "false,2000,2000", "true,10000,2850", "false,10000,2850" })
	void everyRequestIsTakenAtFirstAndGivenNoMoreTimeThanIsLeft(boolean idempotent, long longest, long given) {
		assertThat(decide(idempotent, longest, 500, 2000)).isEqualTo(new Decision.Take(Duration.ofMillis(given)));
	}

	/** Guards against requests that are cut off at the end of a stop. */
	@ParameterizedTest
	@CsvSource({ "false,3000,100", "true,3000,2000" })
	void aLateRequestThatCouldBeCutOffIsRefusedIfItMayNotBeRepeatedOrUsuallyTakesLonger(boolean idempotent,
			long longest, long usual) {
		assertThat(decide(idempotent, longest, usual, 3000)).isEqualTo(new Decision.Refuse(Duration.ofMillis(2000)));
	}

	/** Guards against callers that are turned away though they could be served. */
	@ParameterizedTest
	@CsvSource({ "false,1000,900,1000", "true,1000,900,1000", "true,3000,400,1850" })
	void aLateRequestThatEndsInTimeIsTaken(boolean idempotent, long longest, long usual, long given) {
		assertThat(decide(idempotent, longest, usual, 3000)).isEqualTo(new Decision.Take(Duration.ofMillis(given)));
	}

	/** Guards against requests that are taken when no time is left for an answer. */
	@ParameterizedTest
	@CsvSource({ "true,4900", "false,4900", "true,6000" })
	void nothingIsTakenAtTheEnd(boolean idempotent, long elapsed) {
		assertThat(decide(idempotent, 100, 50, elapsed)).isInstanceOf(Decision.Refuse.class);
	}

}
