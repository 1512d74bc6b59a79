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

	private final OverdueRequestDetector detector = new OverdueRequestDetector();

	@Test
	void requestsOfCallersWithSimilarTimeoutsAreNotOverdue() {
		assertThat(this.detector.isOverdue(ROUTE, 1200)).isFalse();
		assertThat(this.detector.isOverdue(ROUTE, 1020)).isFalse();
	}

	/** Guards against retrying callers whose requests are treated as new. */
	@Test
	void aRequestWhoseCallerHasWaitedLongerThanTheTargetIsOverdue() {
		this.detector.isOverdue(ROUTE, 1200);
		assertThat(this.detector.isOverdue(ROUTE, 750)).isTrue();
	}

	@Test
	void callersThatReduceTheirTimeoutsAreNotOverduePermanently() {
		this.detector.isOverdue(ROUTE, 10_000);
		IntStream.range(0, 10_000).forEach((i) -> this.detector.isOverdue(ROUTE, 1200));
		assertThat(this.detector.isOverdue(ROUTE, 1200)).isFalse();
	}

}
