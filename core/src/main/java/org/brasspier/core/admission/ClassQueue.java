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
 * caller's own requests by the time at which they must start. Not thread-safe.
 */
final class ClassQueue {

	private final Map<CallerId, TreeSet<WaitingRequest>> waiting = new TreeMap<>();

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
		TreeSet<WaitingRequest> own = this.waiting.get(caller);
		return (own != null) ? own.size() : 0;
	}

	void add(WaitingRequest entry) {
		if (this.waiting
			.computeIfAbsent(entry.request().caller(), (caller) -> new TreeSet<>(WaitingRequest.BY_LATEST_START))
			.add(entry)) {
			this.size++;
		}
	}

	boolean remove(WaitingRequest entry) {
		TreeSet<WaitingRequest> own = this.waiting.get(entry.request().caller());
		if (own == null || !own.remove(entry)) {
			return false;
		}
		if (own.isEmpty()) {
			this.waiting.remove(entry.request().caller());
		}
		this.size--;
		return true;
	}

	// Takes the next request: of the caller that had the least, the one due first. Who
	// holds all that it may hold comes after everybody else.
	Optional<WaitingRequest> take(int slots) {
		Optional<WaitingRequest> next = this.waiting.entrySet()
			.stream()
			.min(Comparator.comparing(
					(Map.Entry<CallerId, TreeSet<WaitingRequest>> entry) -> this.shares.atLimit(entry.getKey(), slots))
				.thenComparingDouble((entry) -> this.shares.used(entry.getKey())))
			.map((entry) -> entry.getValue().first());
		next.ifPresent(this::remove);
		return next;
	}

	// Makes room for a caller by giving up the request due last of the caller that has
	// most waiting, if that is at least two more than the newcomer has.
	Optional<WaitingRequest> displaceFor(CallerId newcomer) {
		int own = size(newcomer);
		Optional<WaitingRequest> displaced = this.waiting.values()
			.stream()
			.max(Comparator.comparingInt(Collection::size))
			.filter((most) -> most.size() >= own + 2)
			.map(TreeSet::last);
		displaced.ifPresent(this::remove);
		return displaced;
	}

	// Takes out all that had to start by now.
	List<WaitingRequest> removeLate(long now) {
		List<WaitingRequest> late = new ArrayList<>();
		this.waiting.values()
			.forEach((own) -> own.stream().takeWhile((each) -> each.latestStartNanos() <= now).forEach(late::add));
		late.forEach(this::remove);
		return late;
	}

}
