package org.brasspier.daemon.internal.event;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.brasspier.core.event.EventKind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the latest events of this process and writes each to the log with its number.
 * Thread-safe.
 */
public final class EventLog {

	private static final Logger logger = LoggerFactory.getLogger("brasspier.events");

	private final int capacity;

	private final Deque<Event> latest = new ArrayDeque<>();

	private long nextNumber = 1;

	/**
	 * Creates an empty log.
	 * @param capacity how many events are kept
	 */
	public EventLog(int capacity) {
		if (capacity < 1) {
			throw new IllegalArgumentException("capacity %d must be at least 1".formatted(capacity));
		}
		this.capacity = capacity;
	}

	/**
	 * Adds an event.
	 * @param kind what happened
	 * @param subject what it happened to
	 * @param detail the rest, for a person
	 */
	public void record(EventKind kind, Object subject, String detail) {
		Event event = append(kind, subject.toString(), detail);
		logger.info("{} {} {} {}", kind.number(), kind, event.subject(), detail);
	}

	private synchronized Event append(EventKind kind, String subject, String detail) {
		Event event = new Event(this.nextNumber++, System.currentTimeMillis(), kind, subject, detail);
		if (this.latest.size() == this.capacity) {
			this.latest.removeFirst();
		}
		this.latest.addLast(event);
		return event;
	}

	/**
	 * The kept events.
	 * @param afterNumber only events with a higher number
	 * @return the events, oldest first
	 */
	public synchronized List<Event> after(long afterNumber) {
		return this.latest.stream().filter((event) -> event.number() > afterNumber).toList();
	}

}
