package org.brasspier.core.ownership;

import org.brasspier.core.InstanceId;
import org.brasspier.core.event.EventKind;

/**
 * What a state machine wants done, in the order given. Immutable and thread-safe.
 */
public sealed interface OwnershipAction {

	/**
	 * Send a message; it may be lost.
	 *
	 * @param to the receiver
	 * @param message the message
	 */
	record Send(InstanceId to, ControlMessage message) implements OwnershipAction {

	}

	/** Read the row and report what came of it. */
	record ReadRow() implements OwnershipAction {

	}

	/**
	 * Write the row if it has the expected version and report what came of it.
	 *
	 * @param expectedVersion the version it must have, 0 if it must not exist
	 * @param row the new contents
	 */
	record WriteRow(long expectedVersion, CellRow row) implements OwnershipAction {

	}

	/** What this process holds or knows has changed: publish it. */
	record Publish() implements OwnershipAction {

	}

	/**
	 * Stop admitting requests to a range and report once nothing of it is in flight.
	 *
	 * @param held the range
	 */
	record Drain(HeldRange held) implements OwnershipAction {

	}

	/**
	 * Add an event to the time line.
	 *
	 * @param kind what happened
	 * @param subject what it happened to
	 * @param detail the rest, for a person
	 */
	record Tell(EventKind kind, String subject, String detail) implements OwnershipAction {

	}

	/**
	 * An order given at this daemon was answered.
	 *
	 * @param number the number of the order
	 * @param accepted whether it was accepted
	 * @param detail a sentence for the operator
	 */
	record OrderDone(long number, boolean accepted, String detail) implements OwnershipAction {

	}

	/** This process owns nothing and is no member any more. */
	record Left() implements OwnershipAction {

	}

}
