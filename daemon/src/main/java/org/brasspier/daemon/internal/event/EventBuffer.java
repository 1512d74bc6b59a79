package org.brasspier.daemon.internal.event;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.stream.Stream;

/**
 * Bounded buffer of the latest events; when full, it evicts the oldest. Not thread-safe.
 */
final class EventBuffer {

	private final int capacity;

	private final Deque<Event> events = new ArrayDeque<>();

	private long lastEvictedNumber;

	EventBuffer(int capacity) {
		if (capacity < 1) {
			throw new IllegalArgumentException("capacity %d must be at least 1".formatted(capacity));
		}
		this.capacity = capacity;
	}

	void add(Event event) {
		if (this.events.size() == this.capacity) {
			this.lastEvictedNumber = this.events.removeFirst().number();
		}
		this.events.addLast(event);
	}

	Stream<Event> stream() {
		return this.events.stream();
	}

	/**
	 * Returns the number of the last evicted event.
	 * @return the number, 0 if no event was evicted
	 */
	long lastEvictedNumber() {
		return this.lastEvictedNumber;
	}

}
