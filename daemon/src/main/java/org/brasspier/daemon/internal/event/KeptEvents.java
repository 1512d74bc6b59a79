package org.brasspier.daemon.internal.event;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.stream.Stream;

/**
 * The latest events up to a bound. Not thread-safe.
 */
final class KeptEvents {

	private final int capacity;

	private final Deque<Event> latest = new ArrayDeque<>();

	private long pushedOut;

	KeptEvents(int capacity) {
		if (capacity < 1) {
			throw new IllegalArgumentException("capacity %d must be at least 1".formatted(capacity));
		}
		this.capacity = capacity;
	}

	void add(Event event) {
		if (this.latest.size() == this.capacity) {
			this.pushedOut = this.latest.removeFirst().number();
		}
		this.latest.addLast(event);
	}

	Stream<Event> stream() {
		return this.latest.stream();
	}

	/**
	 * The number of the last event that had to give way.
	 * @return 0 if none had to
	 */
	long pushedOut() {
		return this.pushedOut;
	}

}
