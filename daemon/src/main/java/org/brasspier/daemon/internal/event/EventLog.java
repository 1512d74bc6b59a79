package org.brasspier.daemon.internal.event;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

import org.brasspier.core.event.EventKind;
import org.brasspier.core.event.HybridClock;
import org.brasspier.core.event.HybridTime;
import org.brasspier.daemon.internal.loop.Duty;
import org.brasspier.daemon.internal.loop.Ring;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Keeps the latest events of this process and writes each to the log with its number.
 * Once started, whoever records an event only passes it to the thread {@code events};
 * where that can't keep up, events are lost rather than requests delayed, and the loss is
 * itself an event. Thread-safe.
 */
public final class EventLog {

	private static final Logger logger = LoggerFactory.getLogger("brasspier.events");

	/** Two seconds of three events a request at some 1,300 requests a second. */
	private static final int RING_CAPACITY = 8192;

	private static final int FIRST_REQUEST_EVENT_NUMBER = 300;

	private static final int LAST_REQUEST_EVENT_NUMBER = 399;

	private final HybridClock clock = new HybridClock();

	private final AtomicLong unreportedLostEvents = new AtomicLong();

	private final AtomicLong totalLostEvents = new AtomicLong();

	/**
	 * Requests have a keep of their own: at a thousand a second they would else push out
	 * within seconds what operators look for after a loss.
	 */
	private final EventBuffer requestEvents;

	private final EventBuffer otherEvents;

	private final Duty duty = new Duty("events");

	private final Ring<Event> ring = new Ring<>(RING_CAPACITY, this.duty, this::append);

	private volatile boolean running;

	private long nextNumber = 1;

	/**
	 * Creates an empty log. Until it's started events are kept by whoever records them.
	 * @param capacity how many events of requests are kept, and how many others
	 */
	public EventLog(int capacity) {
		this.requestEvents = new EventBuffer(capacity);
		this.otherEvents = new EventBuffer(capacity);
	}

	/**
	 * Starts the thread that keeps and writes events.
	 */
	public void start() {
		this.duty.start();
		this.running = true;
	}

	/**
	 * Ends the thread after the events at hand.
	 * @throws InterruptedException if the calling thread is interrupted
	 */
	public void stop() throws InterruptedException {
		this.running = false;
		this.duty.stop();
	}

	/**
	 * Adds an event.
	 * @param kind what happened
	 * @param subject what it happened to: best a request, its id, a range or an instance,
	 * so that the time line can be read by it
	 * @param detail the rest, for a person, without secrets
	 */
	public void record(EventKind kind, Object subject, String detail) {
		Event event = new Event(0, stamp(), kind, EventSubject.of(subject), detail);
		if (!this.running) {
			append(event);
		}
		else if (!this.ring.offer(event)) {
			this.unreportedLostEvents.incrementAndGet();
			this.totalLostEvents.incrementAndGet();
		}
	}

	/**
	 * The stamp that a message to another process carries.
	 * @return a stamp later than each event recorded before
	 */
	public HybridTime stamp() {
		return this.clock.tick(System.currentTimeMillis());
	}

	/**
	 * Takes over the stamp that a message of another process carried, so that what
	 * happens here from now on is stamped later.
	 * @param received the sender's stamp
	 */
	public void receive(HybridTime received) {
		this.clock.receive(System.currentTimeMillis(), received);
	}

	private synchronized void append(Event event) {
		long lostEvents = this.unreportedLostEvents.getAndSet(0);
		if (lostEvents > 0) {
			numberAndStore(new Event(0, stamp(), EventKind.EVENTS_LOST, EventSubject.of("events"),
					lostEvents + " events were lost here"));
		}
		numberAndStore(event);
	}

	private void numberAndStore(Event event) {
		Event numbered = new Event(this.nextNumber++, event.stamp(), event.kind(), event.subject(), event.detail());
		boolean isRequestEvent = event.kind().number() >= FIRST_REQUEST_EVENT_NUMBER
				&& event.kind().number() <= LAST_REQUEST_EVENT_NUMBER;
		((isRequestEvent) ? this.requestEvents : this.otherEvents).add(numbered);
		logger.atLevel((isRequestEvent) ? Level.DEBUG : Level.INFO)
			.addKeyValue("event", event.kind().number())
			.log("{} {} {} {}", event.kind().number(), event.kind(), event.subject().text(), event.detail());
	}

	/**
	 * The kept events.
	 * @param afterNumber only events with a higher number
	 * @return the events, oldest first
	 */
	public synchronized List<Event> after(long afterNumber) {
		return Stream.concat(this.requestEvents.stream(), this.otherEvents.stream())
			.filter((event) -> event.number() > afterNumber)
			.sorted(Comparator.comparingLong(Event::number))
			.toList();
	}

	/**
	 * The number before which events of requests, or all others, are no longer kept.
	 * @return empty as long as nothing was pushed out
	 */
	public synchronized Optional<Long> evictedUntil() {
		long lastEvicted = Math.max(this.requestEvents.lastEvictedNumber(), this.otherEvents.lastEvictedNumber());
		return (lastEvicted > 0) ? Optional.of(lastEvicted) : Optional.empty();
	}

	/**
	 * How many events were lost since the start because the ring was full.
	 * @return the count
	 */
	public long totalLostEvents() {
		return this.totalLostEvents.get();
	}

}
