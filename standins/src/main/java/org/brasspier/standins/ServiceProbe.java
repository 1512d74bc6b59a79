package org.brasspier.standins;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

/**
 * Waits until a service answers requests. Stateless and thread-safe.
 */
final class ServiceProbe {

	/**
	 * Number of keys that are requested: enough to hit each range of a small deployment
	 * with high probability.
	 */
	private static final int PROBES = 64;

	private static final int WAIT_MILLIS = 5000;

	private ServiceProbe() {
	}

	static void awaitServed(CallerFleet callers, ServiceShape service) {
		Await.until("each probe of %s is answered".formatted(service.name()),
				() -> countUnanswered(callers, service) == 0);
	}

	private static long countUnanswered(CallerFleet callers, ServiceShape service) {
		List<CompletableFuture<CallerRecord>> results = IntStream.range(0, PROBES)
			.mapToObj((i) -> callers
				.call(StandInRequest.lookup(service.name(), (service.sharded()) ? "probe-" + i : "", callers.newId())
					.withWaitMillis(WAIT_MILLIS)))
			.toList();
		return results.stream()
			.map(CompletableFuture::join)
			.filter((done) -> done.outcome() != CallerRecord.Outcome.ANSWERED)
			.count();
	}

}
