package org.brasspier.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

import org.brasspier.core.CallerId;

/**
 * The waiting requests of one class: callers in turn by the slot time they had, each
 * caller's own requests by deadline. Not thread-safe.
 */
final class ClassQueue {

	private static final Comparator<PendingRequest> BY_DEADLINE = Comparator
		.comparingLong(PendingRequest::deadlineNanos)
		.thenComparingLong(PendingRequest::id);

	private final Map<CallerId, TreeSet<PendingRequest>> waiting = new TreeMap<>();

	private final CallerShares shares;

	private int size;

	ClassQueue(CallerShares shares) {
		this.shares = shares;
	}

	int size() {
		return this.size;
	}

	boolean isEmpty() {
		return this.size == 0;
	}

	int size(CallerId caller) {
		TreeSet<PendingRequest> own = this.waiting.get(caller);
		return (own != null) ? own.size() : 0;
	}

	void add(PendingRequest request) {
		if (this.waiting.computeIfAbsent(request.caller(), (caller) -> new TreeSet<>(BY_DEADLINE)).add(request)) {
			this.size++;
		}
	}

	boolean remove(PendingRequest request) {
		TreeSet<PendingRequest> own = this.waiting.get(request.caller());
		if (own == null || !own.remove(request)) {
			return false;
		}
		if (own.isEmpty()) {
			this.waiting.remove(request.caller());
		}
		this.size--;
		return true;
	}

	// Takes the next request: of the caller that had the least, the one due first.
	Optional<PendingRequest> take() {
		Optional<PendingRequest> next = this.waiting.entrySet()
			.stream()
			.min(Comparator.comparingDouble((entry) -> this.shares.used(entry.getKey())))
			.map((entry) -> entry.getValue().first());
		next.ifPresent(this::remove);
		return next;
	}

	// Makes room for a caller by giving up the request due last of the caller that has
	// most waiting, if that is at least two more than the newcomer has.
	Optional<PendingRequest> displaceFor(CallerId newcomer) {
		int own = size(newcomer);
		Optional<PendingRequest> displaced = this.waiting.values()
			.stream()
			.max(Comparator.comparingInt(Collection::size))
			.filter((most) -> most.size() >= own + 2)
			.map(TreeSet::last);
		displaced.ifPresent(this::remove);
		return displaced;
	}

	// Takes out all requests whose deadline lies before the given time.
	List<PendingRequest> removeDueBefore(long nanos) {
		List<PendingRequest> due = new ArrayList<>();
		this.waiting.values().forEach((own) -> own.headSet(dueAt(own, nanos)).forEach(due::add));
		due.forEach(this::remove);
		return due;
	}

	private static PendingRequest dueAt(TreeSet<PendingRequest> own, long nanos) {
		PendingRequest any = own.first();
		return new PendingRequest(Long.MIN_VALUE, any.requestClass(), any.caller(), nanos);
	}

}
