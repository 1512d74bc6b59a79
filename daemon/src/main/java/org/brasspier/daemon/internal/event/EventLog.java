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
	private static final int RING = 8192;

	private static final int FIRST_REQUEST_EVENT = 300;

	private static final int LAST_REQUEST_EVENT = 399;

	private final HybridClock clock = new HybridClock();

	private final AtomicLong lost = new AtomicLong();

	private final AtomicLong lostInAll = new AtomicLong();

	/**
	 * Requests have a keep of their own: at a thousand a second they would else push out
	 * within seconds what operators look for after a loss.
	 */
	private final KeptEvents ofRequests;

	private final KeptEvents others;

	private final Duty duty = new Duty("events");

	private final Ring<Event> ring = new Ring<>(RING, this.duty, this::append);

	private volatile boolean running;

	private long nextNumber = 1;

	/**
	 * Creates an empty log. Until it's started events are kept by whoever records them.
	 * @param capacity how many events of requests are kept, and how many others
	 */
	public EventLog(int capacity) {
		this.ofRequests = new KeptEvents(capacity);
		this.others = new KeptEvents(capacity);
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
			this.lost.incrementAndGet();
			this.lostInAll.incrementAndGet();
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
		long overflow = this.lost.getAndSet(0);
		if (overflow > 0) {
			keep(new Event(0, stamp(), EventKind.EVENTS_LOST, EventSubject.of("events"),
					overflow + " events were lost here"));
		}
		keep(event);
	}

	private void keep(Event event) {
		Event numbered = new Event(this.nextNumber++, event.stamp(), event.kind(), event.subject(), event.detail());
		boolean ofRequest = event.kind().number() >= FIRST_REQUEST_EVENT && event.kind().number() <= LAST_REQUEST_EVENT;
		((ofRequest) ? this.ofRequests : this.others).add(numbered);
		logger.atLevel((ofRequest) ? Level.DEBUG : Level.INFO)
			.addKeyValue("event", event.kind().number())
			.log("{} {} {} {}", event.kind().number(), event.kind(), event.subject().text(), event.detail());
	}

	/**
	 * The kept events.
	 * @param afterNumber only events with a higher number
	 * @return the events, oldest first
	 */
	public synchronized List<Event> after(long afterNumber) {
		return Stream.concat(this.ofRequests.stream(), this.others.stream())
			.filter((event) -> event.number() > afterNumber)
			.sorted(Comparator.comparingLong(Event::number))
			.toList();
	}

	/**
	 * The number before which events of requests, or all others, are no longer kept.
	 * @return empty as long as nothing was pushed out
	 */
	public synchronized Optional<Long> pushedOutUntil() {
		long until = Math.max(this.ofRequests.pushedOut(), this.others.pushedOut());
		return (until > 0) ? Optional.of(until) : Optional.empty();
	}

	/**
	 * How many events were lost since the start because the ring was full.
	 * @return the count
	 */
	public long lostInAll() {
		return this.lostInAll.get();
	}

}
