package org.brasspier.core.ownership;

import org.brasspier.core.InstanceId;
import org.brasspier.core.event.EventKind;

/**
 * Actions that a state machine requests, to be executed in the given order. Immutable and
 * thread-safe.
 */
public sealed interface OwnershipAction {

	/**
	 * Sends a message, which may be lost.
	 *
	 * @param to the receiver
	 * @param message the message
	 */
	record Send(InstanceId to, ControlMessage message) implements OwnershipAction {

	}

	/** Reads the row and reports the outcome. */
	record ReadRow() implements OwnershipAction {

	}

	/**
	 * Writes the row if it has the expected version, and reports the outcome.
	 *
	 * @param expectedVersion the version that it must have, 0 if it must not exist
	 * @param row the new contents
	 */
	record WriteRow(long expectedVersion, CellRow row) implements OwnershipAction {

	}

	/** Publishes the state of this process, which has changed. */
	record Publish() implements OwnershipAction {

	}

	/**
	 * Stops admitting requests for a range and reports when no request for it is in
	 * flight.
	 *
	 * @param held the range
	 */
	record Drain(HeldRange held) implements OwnershipAction {

	}

	/**
	 * Adds an event to the time line.
	 *
	 * @param kind the kind of event
	 * @param subject what the event is about
	 * @param detail further details, for people
	 */
	record RecordEvent(EventKind kind, String subject, String detail) implements OwnershipAction {

	}

	/**
	 * Reports the answer to an operator's order that was given at this daemon.
	 *
	 * @param number the number of the order
	 * @param accepted whether it was accepted
	 * @param detail a sentence for the operator
	 */
	record OrderDone(long number, boolean accepted, String detail) implements OwnershipAction {

	}

	/** Reports that this process owns nothing and is no longer a member. */
	record Left() implements OwnershipAction {

	}

}
