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
 * Keeps the latest events of this process in memory and writes each to the log with its
 * number. Once started, recording threads only pass events to the thread {@code events}
 * through a ring buffer. If that thread can't keep up, events are dropped rather than
 * requests delayed, and the loss is itself recorded as an event. Thread-safe.
 */
public final class EventLog {

	private static final Logger logger = LoggerFactory.getLogger("brasspier.events");

	/**
	 * Holds two seconds of events, at three events per request and about 1,300
	 * requests/s.
	 */
	private static final int RING_CAPACITY = 8192;

	private static final int FIRST_REQUEST_EVENT_NUMBER = 300;

	private static final int LAST_REQUEST_EVENT_NUMBER = 399;

	private final HybridClock clock = new HybridClock();

	private final AtomicLong unreportedLostEvents = new AtomicLong();

	private final AtomicLong totalLostEvents = new AtomicLong();

	/**
	 * Events of requests have a buffer of their own: at a thousand requests a second they
	 * would otherwise evict within seconds the events that operators look for after the
	 * loss of an instance.
	 */
	private final EventBuffer requestEvents;

	private final EventBuffer otherEvents;

	private final Duty duty = new Duty("events");

	private final Ring<Event> ring = new Ring<>(RING_CAPACITY, this.duty, this::append);

	private volatile boolean running;

	private long nextNumber = 1;

	/**
	 * Creates an empty log. Until it's started, the recording thread itself stores
	 * events.
	 * @param capacity the maximum number of events of requests, and of other events, kept
	 */
	public EventLog(int capacity) {
		this.requestEvents = new EventBuffer(capacity);
		this.otherEvents = new EventBuffer(capacity);
	}

	/**
	 * Starts the thread that stores events and writes them to the log.
	 */
	public void start() {
		this.duty.start();
		this.running = true;
	}

	/**
	 * Stops the thread after it has processed the events already passed to it.
	 * @throws InterruptedException if the calling thread is interrupted
	 */
	public void stop() throws InterruptedException {
		this.running = false;
		this.duty.stop();
	}

	/**
	 * Records an event.
	 * @param kind the kind of the event
	 * @param subject the subject of the event: preferably a request, its id, a range or
	 * an instance, so that events can be filtered by it
	 * @param detail further information for operators, without secrets
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
	 * Returns a timestamp for a message to another process.
	 * @return a timestamp later than that of each event recorded before
	 */
	public HybridTime stamp() {
		return this.clock.tick(System.currentTimeMillis());
	}

	/**
	 * Advances the clock past the timestamp of a message from another process, so that
	 * events recorded from now on have a later timestamp.
	 * @param received the timestamp of the sender
	 */
	public void receive(HybridTime received) {
		this.clock.receive(System.currentTimeMillis(), received);
	}

	private synchronized void append(Event event) {
		long lostEvents = this.unreportedLostEvents.getAndSet(0);
		if (lostEvents > 0) {
			numberAndStore(new Event(0, stamp(), EventKind.EVENTS_LOST, EventSubject.of("events"),
					lostEvents + " events were lost: the event queue was full"));
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
	 * Returns the events that are still kept.
	 * @param afterNumber the number after which events are returned
	 * @return the events with a higher number, oldest first
	 */
	public synchronized List<Event> after(long afterNumber) {
		return Stream.concat(this.requestEvents.stream(), this.otherEvents.stream())
			.filter((event) -> event.number() > afterNumber)
			.sorted(Comparator.comparingLong(Event::number))
			.toList();
	}

	/**
	 * Returns the number up to which events of requests, or other events, may be missing
	 * because they were evicted.
	 * @return the number of the last evicted event, empty if none was evicted
	 */
	public synchronized Optional<Long> evictedUntil() {
		long lastEvicted = Math.max(this.requestEvents.lastEvictedNumber(), this.otherEvents.lastEvictedNumber());
		return (lastEvicted > 0) ? Optional.of(lastEvicted) : Optional.empty();
	}

	/**
	 * Returns how many events were lost since the start because the ring buffer was full.
	 * @return the number of lost events
	 */
	public long totalLostEvents() {
		return this.totalLostEvents.get();
	}

}
