package org.brasspier.core.mesh;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

import org.brasspier.core.ServiceName;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class OverdueRequestDetectorTests {

	private static final RouteRule ROUTE = new RouteRule("hulls", "host", "/hulls/", true, Duration.ofMillis(1200),
			Duration.ofMillis(200), 0, List.of(new WeightedService(new ServiceName("hulls"), 1)), 2);

	private final OverdueRequestDetector overdue = new OverdueRequestDetector();

	@Test
	void aFirstRequestIsNeverOverdueHoweverPatientItsCallerIs() {
		assertThat(this.overdue.isOverdue(ROUTE, 1200)).isFalse();
		assertThat(this.overdue.isOverdue(ROUTE, 1020)).isFalse();
	}

	/** Guards against returning callers that are taken for fresh ones. */
	@Test
	void aCallerThatHasWaitedForLongerThanItsTargetIsOverdue() {
		this.overdue.isOverdue(ROUTE, 1200);
		assertThat(this.overdue.isOverdue(ROUTE, 750)).isTrue();
	}

	@Test
	void callersThatBecomeLessPatientAreNotOverdueForGood() {
		this.overdue.isOverdue(ROUTE, 10_000);
		IntStream.range(0, 10_000).forEach((i) -> this.overdue.isOverdue(ROUTE, 1200));
		assertThat(this.overdue.isOverdue(ROUTE, 1200)).isFalse();
	}

}
