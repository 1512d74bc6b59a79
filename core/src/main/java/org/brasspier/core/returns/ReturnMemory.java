package org.brasspier.core.returns;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * An entry's memory of the callers that it refused and told when to come back. A caller
 * that comes back sends the same request under another id, so it is recognized by a hash
 * of the request's contents. Requests of different callers may have the same hash; each
 * refusal is therefore remembered by itself and used up by one return. Bounded by number
 * and age. Times are nanoseconds of one monotonic clock. Not thread-safe.
 */
public final class ReturnMemory {

	/** The most refusals that are remembered. */
	static final int MAX_REFUSALS = 4096;

	/** How long a refusal is remembered. */
	static final long MAX_AGE_NANOS = Duration.ofSeconds(10).toNanos();

	/** How much sooner than told a return may come and still be on time. */
	static final long TOLERANCE_NANOS = Duration.ofMillis(20).toNanos();

	private final Deque<Refusal> byAge = new ArrayDeque<>();

	private final Map<Long, PriorityQueue<Refusal>> byRequest = new HashMap<>();

	/**
	 * Returns whether no refusal is remembered, so that no request can be a return.
	 * @return true if so
	 */
	public boolean isEmpty() {
		return this.byRequest.isEmpty();
	}

	/**
	 * Remembers a refusal.
	 * @param request hash of the refused request's contents
	 * @param dueNanos when its caller may come back
	 * @param now the current time, in nanoseconds
	 */
	public void onRefused(long request, long dueNanos, long now) {
		forgetOld(now);
		if (this.byAge.size() >= MAX_REFUSALS) {
			forget(this.byAge.removeFirst());
		}
		Refusal refusal = new Refusal(request, dueNanos, now);
		this.byAge.addLast(refusal);
		this.byRequest
			.computeIfAbsent(request, (key) -> new PriorityQueue<>(Comparator.comparingLong(Refusal::dueNanos)))
			.add(refusal);
	}

	/**
	 * Determines whether a request is a return. An on-time return uses up the refusal; an
	 * early one leaves it in place, so that the caller can still come back in time.
	 * @param request hash of the request's contents
	 * @param now the current time, in nanoseconds
	 * @return the status
	 */
	public ReturnStatus onRequest(long request, long now) {
		forgetOld(now);
		PriorityQueue<Refusal> refusals = this.byRequest.get(request);
		if (refusals == null) {
			return ReturnStatus.NEW;
		}
		if (refusals.element().dueNanos() - now > TOLERANCE_NANOS) {
			return ReturnStatus.EARLY;
		}
		forget(refusals.element());
		return ReturnStatus.ON_TIME;
	}

	/**
	 * Determines when the caller of a request that came early and is refused again may
	 * come back. It keeps the time that it was told before. If that has passed, the
	 * refusal is forgotten, and the caller is to be told a new time.
	 * @param request hash of the request's contents
	 * @param now the current time, in nanoseconds
	 * @return the time, in nanoseconds; empty if it has passed or is not remembered
	 */
	public Optional<Long> onEarlyRefused(long request, long now) {
		Optional<Refusal> earliest = Optional.ofNullable(this.byRequest.get(request)).map(PriorityQueue::element);
		Optional<Long> kept = earliest.map(Refusal::dueNanos).filter((due) -> due > now);
		if (kept.isEmpty()) {
			earliest.ifPresent(this::forget);
		}
		return kept;
	}

	/**
	 * Forgets one refusal of a request that came early and was served nevertheless.
	 * @param request hash of the request's contents
	 */
	public void onEarlyServed(long request) {
		Optional.ofNullable(this.byRequest.get(request)).ifPresent((refusals) -> forget(refusals.element()));
	}

	private void forgetOld(long now) {
		while (!this.byAge.isEmpty() && now - this.byAge.element().refusedNanos() > MAX_AGE_NANOS) {
			forget(this.byAge.removeFirst());
		}
	}

	// Refusals that were used up stay in the order by age until they are the oldest.
	private void forget(Refusal refusal) {
		PriorityQueue<Refusal> same = this.byRequest.get(refusal.request());
		if (same != null && same.remove(refusal) && same.isEmpty()) {
			this.byRequest.remove(refusal.request());
		}
	}

	private static final class Refusal {

		private final long request;

		private final long dueNanos;

		private final long refusedNanos;

		Refusal(long request, long dueNanos, long refusedNanos) {
			this.request = request;
			this.dueNanos = dueNanos;
			this.refusedNanos = refusedNanos;
		}

		long request() {
			return this.request;
		}

		long dueNanos() {
			return this.dueNanos;
		}

		long refusedNanos() {
			return this.refusedNanos;
		}

	}

}
