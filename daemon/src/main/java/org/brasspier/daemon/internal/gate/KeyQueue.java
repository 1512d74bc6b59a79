package org.brasspier.daemon.internal.gate;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.mesh.SendOutcome;

/**
 * Requests that wait until the local backend server holds their keys. Not thread-safe;
 * confined to the request thread.
 */
public final class KeyQueue {

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(10);

	/** Bounds the memory that requests for keys of a stalled move take up. */
	private static final int MAX_WAITING = 256;

	private final NioReactor reactor;

	private final List<Waiting> waiting = new ArrayList<>();

	private boolean checkScheduled;

	/**
	 * Creates an empty queue.
	 * @param reactor the reactor of the request thread
	 */
	public KeyQueue(NioReactor reactor) {
		this.reactor = reactor;
	}

	/**
	 * Returns whether no further request may be added.
	 * @return true if the queue is full
	 */
	public boolean isFull() {
		return this.waiting.size() >= MAX_WAITING;
	}

	/**
	 * Returns the number of waiting requests.
	 * @return at least 0
	 */
	public int size() {
		return this.waiting.size();
	}

	/**
	 * Adds a request.
	 * @param request decides what becomes of the request
	 * @param maxWait how long it may wait
	 * @return the outcome
	 */
	public Promise<SendOutcome> add(KeyRequest request, Duration maxWait) {
		Waiting added = new Waiting(request, System.nanoTime() + maxWait.toNanos(), new SettablePromise<>());
		this.waiting.add(added);
		scheduleCheck();
		return added.outcome;
	}

	private void scheduleCheck() {
		if (!this.checkScheduled) {
			this.checkScheduled = true;
			this.reactor.delay(CHECK_INTERVAL, () -> {
				this.checkScheduled = false;
				try {
					check(System.nanoTime());
				}
				finally {
					if (!this.waiting.isEmpty()) {
						scheduleCheck();
					}
				}
			});
		}
	}

	private void check(long now) {
		List<Waiting> ended = this.waiting.stream()
			.filter((each) -> each.endNanos - now <= 0 || !each.request.mustWait())
			.toList();
		this.waiting.removeAll(ended);
		ended.forEach((each) -> each.request.proceed().whenResult(each.outcome::trySet));
	}

	/**
	 * A request that waits.
	 */
	public interface KeyRequest {

		/**
		 * Returns whether the server still lacks the key and is going to receive it.
		 * @return true if the request must wait on
		 */
		boolean mustWait();

		/**
		 * Runs or rejects the request.
		 * @return the outcome; never completes with an exception
		 */
		Promise<SendOutcome> proceed();

	}

	private record Waiting(KeyRequest request, long endNanos, SettablePromise<SendOutcome> outcome) {
	}

}
