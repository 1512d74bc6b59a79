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
 * The waiting requests of one class and rank. Callers take turns by the slot time they
 * used; the requests of one caller are ordered by their latest start time. Not
 * thread-safe.
 */
final class ClassQueue {

	private final Map<CallerId, TreeSet<WaitingRequest>> waiting = new TreeMap<>();

	private final CallerShares shares;

	private final EntryShares entryShares;

	private int size;

	private int onTimeReturns;

	ClassQueue(CallerShares shares, EntryShares entryShares) {
		this.shares = shares;
		this.entryShares = entryShares;
	}

	int size() {
		return this.size;
	}

	boolean isEmpty() {
		return this.size == 0;
	}

	// Returns the number of waiting on-time returns, which go before all others.
	int onTimeReturns() {
		return this.onTimeReturns;
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
			this.onTimeReturns += entry.request().isPunctualReturn() ? 1 : 0;
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
		this.onTimeReturns -= entry.request().isPunctualReturn() ? 1 : 0;
		return true;
	}

	// Returns the next request: the most urgent one of the caller that used the least
	// slot time. Callers at their limit come after all others.
	Optional<WaitingRequest> next(int slots, long now) {
		return this.waiting.entrySet()
			.stream()
			.min(Comparator.comparing(
					(Map.Entry<CallerId, TreeSet<WaitingRequest>> entry) -> this.shares.atLimit(entry.getKey(), slots))
				.thenComparingDouble((entry) -> this.shares.virtualUsage(entry.getKey())))
			.map((entry) -> next(entry.getValue(), now));
	}

	// Returns the first request, unless its instance of entry has had clearly more slot
	// time than others, and a request of another one with the same precedence waits. A
	// request that must start soon is not passed over, since it would be refused after a
	// long wait.
	private WaitingRequest next(TreeSet<WaitingRequest> own, long now) {
		WaitingRequest first = own.first();
		if (first.mustStartSoon(now)) {
			return first;
		}
		for (WaitingRequest each : own) {
			if (WaitingRequest.BY_PRECEDENCE.compare(first, each) != 0) {
				break;
			}
			if (!this.entryShares.isOver(each.request().origin(), now)) {
				return each;
			}
		}
		return first;
	}

	// Makes room for a caller by removing the least urgent request of the caller with the
	// most waiting requests, if it has at least two more than the new caller.
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

	// Removes all requests whose latest start time has passed.
	List<WaitingRequest> removeLate(long now) {
		List<WaitingRequest> late = new ArrayList<>();
		this.waiting.values()
			.forEach((own) -> own.stream().filter((each) -> each.latestStartNanos() <= now).forEach(late::add));
		late.forEach(this::remove);
		return late;
	}

}
