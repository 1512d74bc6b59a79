package org.brasspier.core.admission;

import java.util.List;

/**
 * What follows from a slot that has become free or from time that has passed. Immutable
 * and thread-safe.
 *
 * @param run the numbers of the waiting requests to hand to the backend server now; their
 * slots are already taken
 * @param refused the waiting requests that are given up
 */
public record NextRequests(List<Long> run, List<RefusedRequest> refused) {

	/** Nothing follows. */
	public static final NextRequests NONE = new NextRequests(List.of(), List.of());

	/**
	 * Copies the lists.
	 */
	public NextRequests {
		run = List.copyOf(run);
		refused = List.copyOf(refused);
	}

}
