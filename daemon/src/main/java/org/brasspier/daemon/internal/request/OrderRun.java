package org.brasspier.daemon.internal.request;

import io.activej.promise.Promise;

/**
 * An order that was handed to a gate. Belongs to the thread of requests.
 *
 * @param outcome how it ended for its caller; never an exception
 * @param settled completes once it certainly can't take effect any more, which may be
 * later: a server that checks no fences may be frozen with the order in its hands
 */
record OrderRun(Promise<Outcome> outcome, Promise<Void> settled) {

	static OrderRun completed(Outcome outcome) {
		return new OrderRun(Promise.of(outcome), Promise.complete());
	}

}
