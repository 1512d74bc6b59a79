package org.brasspier.wire.operator;

import java.util.List;

/**
 * The time line of one daemon. Immutable and thread-safe.
 *
 * @param instance the instance
 * @param lastNumber the number to ask on from
 * @param lost how many events were lost since its start because a ring was full
 * @param pushedOutUntil the number before which events have given way to newer ones; 0 if
 * none has
 * @param events the events, oldest first
 */
public record EventsAnswer(String instance, long lastNumber, long lost, long pushedOutUntil,
		List<EventsAnswer.Entry> events) {

	/**
	 * Checks and copies.
	 */
	public EventsAnswer {
		events = List.copyOf(OperatorJson.present(events, "events"));
	}

	/**
	 * One event.
	 *
	 * @param number its number in its process
	 * @param stamp its place in the order over all processes
	 * @param millis the wall clock's part of the stamp, in milliseconds since 1970
	 * @param event the number of its kind
	 * @param kind its kind
	 * @param instance the instance whose daemon recorded it
	 * @param subject what it happened to
	 * @param detail the rest
	 */
	public record Entry(long number, long stamp, long millis, int event, String kind, String instance, String subject,
			String detail) {

	}

}
