package org.brasspier.core.choosing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.brasspier.core.InstanceId;

/**
 * Search of one request for a server with a free slot. Only the daemon next to a server
 * knows its free slots, so the request is offered to one server after the other without
 * waiting, and finally waits where the wait is shortest. Designed for many daemons with
 * little traffic each, which observe too little to choose well. Not thread-safe.
 */
public final class SlotSearch {

	/**
	 * Number of full servers after which a request waits at one of them. When two servers
	 * are full, a third usually is too.
	 */
	private static final int MAX_FULL_SERVERS = 2;

	private final Map<InstanceId, Duration> waits = new HashMap<>();

	private boolean ended;

	/**
	 * Creates the search of a request that has not been sent yet.
	 * @param searches false if the request may wait at the first server that receives it
	 */
	public SlotSearch(boolean searches) {
		this.ended = !searches;
	}

	/**
	 * Records that a server has no free slot.
	 * @param instance the server
	 * @param wait how long the request would have to wait there
	 */
	public void onFull(InstanceId instance, Duration wait) {
		this.waits.put(instance, wait);
	}

	/**
	 * Returns whether the request may wait at the next server.
	 * @return true after the search has ended or enough servers were full
	 */
	public boolean mayWait() {
		return this.ended || this.waits.size() >= MAX_FULL_SERVERS;
	}

	/**
	 * Ends the search: from now on the request may wait at any server that receives it.
	 * @return the full server with the shortest wait; empty if none is left
	 */
	public Optional<InstanceId> takeShortestWait() {
		this.ended = true;
		Optional<InstanceId> shortest = this.waits.entrySet()
			.stream()
			.min(Map.Entry.comparingByValue())
			.map(Map.Entry::getKey);
		shortest.ifPresent(this.waits::remove);
		return shortest;
	}

}
