package org.brasspier.core.choosing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.brasspier.core.InstanceId;

/**
 * The search of one request for a server with a free slot. Only the daemon beside a
 * server knows its slots, so the request is brought to one server after the other without
 * waiting there, and waits at last where the wait is shortest. Answers the load of many
 * daemons with little traffic each, which observe too little to choose well. Not
 * thread-safe.
 */
public final class SlotSearch {

	/**
	 * Servers without a free slot after which a request waits at one of them. Where two
	 * are full a third mostly is too.
	 */
	private static final int MOST_FULL = 2;

	private final Map<InstanceId, Duration> waits = new HashMap<>();

	private boolean over;

	/**
	 * Creates the search of a request that was not brought anywhere yet.
	 * @param searches false if it may wait wherever it is brought first
	 */
	public SlotSearch(boolean searches) {
		this.over = !searches;
	}

	/**
	 * Takes that a server has no free slot.
	 * @param instance the server
	 * @param wait how long the request would have to wait there
	 */
	public void onFull(InstanceId instance, Duration wait) {
		this.waits.put(instance, wait);
	}

	/**
	 * Whether the request is to wait where it is brought next.
	 * @return true once enough servers were full
	 */
	public boolean mayWait() {
		return this.over || this.waits.size() >= MOST_FULL;
	}

	/**
	 * Ends the search: the request may wait where it is brought from now on.
	 * @return the server that was full with the shortest wait; empty if none was, or all
	 * have been taken
	 */
	public Optional<InstanceId> takeShortestWait() {
		this.over = true;
		Optional<InstanceId> shortest = this.waits.entrySet()
			.stream()
			.min(Map.Entry.comparingByValue())
			.map(Map.Entry::getKey);
		shortest.ifPresent(this.waits::remove);
		return shortest;
	}

}
