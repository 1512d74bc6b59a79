package org.brasspier.core.admission;

import java.util.List;

/**
 * Consequences of a freed slot or of elapsed time. Immutable and thread-safe.
 *
 * @param run the numbers of the waiting requests to send to the backend server now; their
 * slots are already taken
 * @param refused the waiting requests that are refused
 */
public record NextRequests(List<Long> run, List<RefusedRequest> refused) {

	/** No requests run or are refused. */
	public static final NextRequests NONE = new NextRequests(List.of(), List.of());

	/**
	 * Copies the lists.
	 */
	public NextRequests {
		run = List.copyOf(run);
		refused = List.copyOf(refused);
	}

}
