package org.brasspier.daemon.internal.request;

import io.activej.promise.Promise;

/**
 * The execution of an order. Not thread-safe; used in the request thread only.
 *
 * @param outcome the outcome for the caller; never completes exceptionally
 * @param settled completes once the order can no longer take effect, which may be later
 * than the outcome: a server that does not check fences may have been paused after it
 * received the order
 */
record OrderRun(Promise<Outcome> outcome, Promise<Void> settled) {

	static OrderRun completed(Outcome outcome) {
		return new OrderRun(Promise.of(outcome), Promise.complete());
	}

}
