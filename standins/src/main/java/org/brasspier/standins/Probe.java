package org.brasspier.standins;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

/**
 * Finds out whether a service is served. Stateless and thread-safe.
 */
final class Probe {

	/** Enough that each range of a small deployment is likely met. */
	private static final int KEYS = 64;

	private static final int WAIT_MILLIS = 5000;

	private Probe() {
	}

	static void served(CallerFleet callers, ServiceShape service) {
		Await.until("each probe of %s is answered".formatted(service.name()), () -> unserved(callers, service) == 0);
	}

	private static long unserved(CallerFleet callers, ServiceShape service) {
		List<CompletableFuture<CallerRecord>> asked = IntStream.range(0, KEYS)
			.mapToObj((i) -> callers
				.ask(StandInRequest.lookup(service.name(), (service.keyed()) ? "probe-" + i : "", callers.newId())
					.waiting(WAIT_MILLIS)))
			.toList();
		return asked.stream()
			.map(CompletableFuture::join)
			.filter((done) -> done.outcome() != CallerRecord.Outcome.ANSWERED)
			.count();
	}

}
