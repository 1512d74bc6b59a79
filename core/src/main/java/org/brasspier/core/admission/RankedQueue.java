package org.brasspier.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.brasspier.core.CallerId;

/**
 * The waiting requests of one class. Those of a more urgent rank go first, but overtake a
 * request only until it has waited for half of its target latency for each rank between
 * them. With a single rank, the order is that of a {@link ClassQueue}. Not thread-safe.
 */
final class RankedQueue {

	private final TreeMap<Integer, ClassQueue> ranks = new TreeMap<>();

	private final CallerShares shares;

	private final EntryShares entryShares;

	/**
	 * Creates an empty queue.
	 * @param shares slot time of each caller
	 * @param sharedByEntry whether instances of entry have shares. Calls have none: the
	 * instance where a call begins is that of the server that makes it, one that holds
	 * busy keys makes many, and refusing them would fail requests that are running.
	 */
	RankedQueue(CallerShares shares, boolean sharedByEntry) {
		this.shares = shares;
		this.entryShares = new EntryShares(sharedByEntry);
	}

	boolean isEmpty() {
		return this.ranks.isEmpty();
	}

	int size() {
		return size(this.ranks);
	}

	// Returns the number of requests of the same rank.
	int size(Urgency urgency) {
		ClassQueue queue = this.ranks.get(urgency.rank());
		return (queue != null) ? queue.size() : 0;
	}

	// Returns the number of requests that are no less urgent.
	int sizeAhead(Urgency urgency) {
		return size(this.ranks.headMap(urgency.rank(), true));
	}

	private static int size(Map<Integer, ClassQueue> queues) {
		int size = 0;
		for (ClassQueue queue : queues.values()) {
			size += queue.size();
		}
		return size;
	}

	// Returns the number of requests that go before an on-time return: those of more
	// urgent ranks, and the on-time returns of its own.
	int sizeAheadOfReturn(Urgency urgency) {
		ClassQueue own = this.ranks.get(urgency.rank());
		return size(this.ranks.headMap(urgency.rank(), false)) + ((own != null) ? own.onTimeReturns() : 0);
	}

	EntryShares entryShares() {
		return this.entryShares;
	}

	void add(WaitingRequest entry) {
		this.ranks.computeIfAbsent(rank(entry), (rank) -> new ClassQueue(this.shares, this.entryShares)).add(entry);
	}

	boolean remove(WaitingRequest entry) {
		ClassQueue queue = this.ranks.get(rank(entry));
		if (queue == null || !queue.remove(entry)) {
			return false;
		}
		if (queue.isEmpty()) {
			this.ranks.remove(rank(entry));
		}
		return true;
	}

	// Removes the next request. Only the first request of each rank is considered, from
	// the most urgent to the least urgent rank.
	Optional<WaitingRequest> take(int slots, long now) {
		Optional<WaitingRequest> next = Optional.empty();
		int position = 0;
		int nextPosition = 0;
		for (ClassQueue queue : this.ranks.values()) {
			Optional<WaitingRequest> first = queue.next(slots, now);
			if (next.isEmpty() || first.isPresent() && goesBefore(first.get(), next.get(), position - nextPosition)) {
				next = first;
				nextPosition = position;
			}
			position++;
		}
		next.ifPresent(this::remove);
		return next;
	}

	private static boolean goesBefore(WaitingRequest lessUrgent, WaitingRequest moreUrgent, int ranksBetween) {
		long overtakenNanos = lessUrgent.request().urgency().maxOvertakenNanos() * ranksBetween;
		return moreUrgent.sinceNanos() - lessUrgent.sinceNanos() >= overtakenNanos;
	}

	// Makes room for a caller among the least urgent requests.
	Optional<WaitingRequest> displaceFor(CallerId newcomer) {
		if (this.ranks.isEmpty()) {
			return Optional.empty();
		}
		Optional<WaitingRequest> displaced = this.ranks.lastEntry().getValue().displaceFor(newcomer);
		this.ranks.values().removeIf(ClassQueue::isEmpty);
		return displaced;
	}

	List<WaitingRequest> removeLate(long now) {
		List<WaitingRequest> late = new ArrayList<>();
		this.ranks.values().forEach((queue) -> late.addAll(queue.removeLate(now)));
		this.ranks.values().removeIf(ClassQueue::isEmpty);
		return late;
	}

	private static int rank(WaitingRequest entry) {
		return entry.request().urgency().rank();
	}

}
