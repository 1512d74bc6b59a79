package org.brasspier.wire.operator;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * The state of one daemon. Immutable and thread-safe.
 *
 * @param instance the instance
 * @param failureDomain the failure domain it is in
 * @param cell the cell it belongs to
 * @param documentVersion the version of the document that the daemon uses
 * @param documentRead whether the daemon has read which version is in force
 * @param leaseMillisLeft the remaining time of its lease, in milliseconds; 0 if the lease
 * has expired
 * @param rangesHeld the number of ranges it serves
 * @param eventsLost the number of events lost since its start because a ring was full
 * @param classes the running and waiting requests at the gate to its backend server;
 * empty if the daemon is of an earlier build that does not report them
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
	 * @param running the number of requests that hold a slot
	 * @param waiting the number of requests that wait for a slot
	 */
	public record ClassLoad(String requestClass, int running, int waiting) {

	}

}
