package org.brasspier.daemon.internal.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.core.routing.Assignment;
import org.brasspier.core.routing.OwnershipSnapshot;

/**
 * Holds requests that certainly did not run until another owner of their key hash is
 * known. This bridges the short gap during a handover or a recovery, when a refusal would
 * reach the caller at about the time the next owner is ready. Bounded, so that an outage
 * does not exhaust the memory. Not thread-safe; used in the request thread only.
 */
final class RouteChangeWaiter {

	/**
	 * A second of one server's usual load; more waiting requests suggest a long outage.
	 */
	private static final int MAX_WAITING = 1024;

	private static final long POLL_INTERVAL_MILLIS = 5;

	private final NioReactor reactor;

	private final Supplier<OwnershipSnapshot> ownership;

	private final List<Waiter> waiting = new ArrayList<>();

	private boolean pollScheduled;

	RouteChangeWaiter(NioReactor reactor, Supplier<OwnershipSnapshot> ownership) {
		this.reactor = reactor;
		this.ownership = ownership;
	}

	// Completes with true once the route differs from the one seen or the time is over;
	// with false at once if too many requests are already waiting.
	Promise<Boolean> awaitChange(CallerRequest request, Optional<Assignment> seen, long untilNanos) {
		if (this.waiting.size() >= MAX_WAITING) {
			return Promise.of(false);
		}
		Waiter waiter = new Waiter(request, seen, untilNanos, new SettablePromise<>());
		this.waiting.add(waiter);
		schedulePoll();
		return waiter.done;
	}

	private void schedulePoll() {
		if (this.pollScheduled || this.waiting.isEmpty()) {
			return;
		}
		this.pollScheduled = true;
		this.reactor.delay(POLL_INTERVAL_MILLIS, () -> {
			this.pollScheduled = false;
			completeReady();
			schedulePoll();
		});
	}

	private void completeReady() {
		OwnershipSnapshot snapshot = this.ownership.get();
		long now = System.nanoTime();
		List<Waiter> ready = this.waiting.stream().filter((waiter) -> waiter.isDone(snapshot, now)).toList();
		this.waiting.removeAll(ready);
		ready.forEach((waiter) -> waiter.done.set(true));
	}

	private record Waiter(CallerRequest request, Optional<Assignment> seen, long untilNanos,
			SettablePromise<Boolean> done) {

		boolean isDone(OwnershipSnapshot snapshot, long nowNanos) {
			return nowNanos - this.untilNanos >= 0
					|| !snapshot.routes().find(this.request.service(), this.request.keyHash()).equals(this.seen);
		}

	}

}
