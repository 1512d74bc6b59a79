package org.brasspier.wire.operator;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * One daemon's own state. Immutable and thread-safe.
 *
 * @param instance the instance
 * @param failureDomain the failure domain it is in
 * @param cell the cell it belongs to
 * @param documentVersion the version of the document in force in it
 * @param documentRead whether it knows which version is in force
 * @param leaseMillisLeft how long its lease still runs, in milliseconds; 0 if it has run
 * out
 * @param rangesHeld how many ranges it serves
 * @param eventsLost how many events were lost since its start because a ring was full
 * @param classes what runs and waits at the gate to its backend server; empty if the
 * daemon is of a build that doesn't tell
 */
public record StatusAnswer(String instance, String failureDomain, String cell, long documentVersion,
		boolean documentRead, long leaseMillisLeft, int rangesHeld, long eventsLost,
		@Nullable List<ClassLoad> classes) {

	/**
	 * Copies the list.
	 */
	public StatusAnswer {
		classes = (classes != null) ? List.copyOf(classes) : List.of();
	}

	@Override
	public List<ClassLoad> classes() {
		return (this.classes != null) ? this.classes : List.of();
	}

	/**
	 * The requests of one class at the gate to the backend server.
	 *
	 * @param requestClass the class, in lower case
	 * @param running how many hold a slot
	 * @param waiting how many wait for one
	 */
	public record ClassLoad(String requestClass, int running, int waiting) {

	}

}
