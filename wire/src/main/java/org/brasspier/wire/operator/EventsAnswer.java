package org.brasspier.wire.operator;

import java.util.List;

/**
 * The recorded events of one daemon. Immutable and thread-safe.
 *
 * @param instance the instance
 * @param lastNumber the number to continue reading from
 * @param lost the number of events lost since its start because a ring was full
 * @param pushedOutUntil the number up to and including which events may have been evicted
 * by newer ones; 0 if none was
 * @param events the events, oldest first
 */
public record EventsAnswer(String instance, long lastNumber, long lost, long pushedOutUntil,
		List<EventsAnswer.Entry> events) {

	/**
	 * Checks the fields and copies collections.
	 */
	public EventsAnswer {
		events = List.copyOf(OperatorJson.present(events, "events"));
	}

	/**
	 * One event.
	 *
	 * @param number its sequence number in its process
	 * @param stamp its hybrid timestamp, which orders the events of all processes
	 * @param millis the wall clock part of the stamp, in milliseconds since 1970
	 * @param event the number of its kind, see {@code kind}
	 * @param kind its kind
	 * @param instance the instance whose daemon recorded it
	 * @param subject the subject of the event
	 * @param detail further details
	 */
	public record Entry(long number, long stamp, long millis, int event, String kind, String instance, String subject,
			String detail) {

	}

}
