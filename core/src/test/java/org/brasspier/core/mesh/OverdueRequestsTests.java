package org.brasspier.core.mesh;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

import org.brasspier.core.ServiceName;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class OverdueRequestsTests {

	private static final RouteRule ROUTE = new RouteRule("hulls", "host", "/hulls/", true, Duration.ofMillis(1200),
			Duration.ofMillis(200), 0, List.of(new WeightedService(new ServiceName("hulls"), 1)), 2);

	private final OverdueRequests overdue = new OverdueRequests();

	@Test
	void aFirstRequestIsNeverOverdueHoweverPatientItsCallerIs() {
		assertThat(this.overdue.overdue(ROUTE, 1200)).isFalse();
		assertThat(this.overdue.overdue(ROUTE, 1020)).isFalse();
	}

	/** Guards against returning callers that are taken for fresh ones. */
	@Test
	void aCallerThatHasWaitedForLongerThanItsTargetIsOverdue() {
		this.overdue.overdue(ROUTE, 1200);
		assertThat(this.overdue.overdue(ROUTE, 750)).isTrue();
	}

	@Test
	void callersThatBecomeLessPatientAreNotOverdueForGood() {
		this.overdue.overdue(ROUTE, 10_000);
		IntStream.range(0, 10_000).forEach((i) -> this.overdue.overdue(ROUTE, 1200));
		assertThat(this.overdue.overdue(ROUTE, 1200)).isFalse();
	}

}
