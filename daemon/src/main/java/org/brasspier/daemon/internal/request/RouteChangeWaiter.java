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
 * Holds requests that certainly did not run until another owner of their point is known.
 * Made for the moments of a hand-over or a recovery: a refusal would reach the caller
 * about when the next owner is there. Bounded, since an outage must not fill the memory.
 * Belongs to the thread of requests.
 */
final class RouteChangeWaiter {

	/** A second of one server's usual load; beyond it a longer outage is likely. */
	private static final int MAX_WAITING = 1024;

	private static final long LOOK_EVERY_MILLIS = 5;

	private final NioReactor reactor;

	private final Supplier<OwnershipSnapshot> ownership;

	private final List<Waiter> waiting = new ArrayList<>();

	private boolean looking;

	RouteChangeWaiter(NioReactor reactor, Supplier<OwnershipSnapshot> ownership) {
		this.reactor = reactor;
		this.ownership = ownership;
	}

	// Completes with true when another owner is known or the time is over, with false at
	// once if too many wait already.
	Promise<Boolean> awaitChange(CallerRequest request, Optional<Assignment> seen, long untilNanos) {
		if (this.waiting.size() >= MAX_WAITING) {
			return Promise.of(false);
		}
		Waiter waiter = new Waiter(request, seen, untilNanos, new SettablePromise<>());
		this.waiting.add(waiter);
		look();
		return waiter.woken;
	}

	private void look() {
		if (this.looking || this.waiting.isEmpty()) {
			return;
		}
		this.looking = true;
		this.reactor.delay(LOOK_EVERY_MILLIS, () -> {
			this.looking = false;
			wake();
			look();
		});
	}

	private void wake() {
		OwnershipSnapshot snapshot = this.ownership.get();
		long now = System.nanoTime();
		List<Waiter> woken = this.waiting.stream().filter((waiter) -> waiter.over(snapshot, now)).toList();
		this.waiting.removeAll(woken);
		woken.forEach((waiter) -> waiter.woken.set(true));
	}

	private record Waiter(CallerRequest request, Optional<Assignment> seen, long untilNanos,
			SettablePromise<Boolean> woken) {

		boolean over(OwnershipSnapshot snapshot, long nowNanos) {
			return nowNanos - this.untilNanos >= 0
					|| !snapshot.routes().find(this.request.service(), this.request.keyHash()).equals(this.seen);
		}

	}

}
