package org.brasspier.core.crash;

import java.util.Set;

import org.brasspier.core.keys.BackendIncarnation;

/**
 * The requests that a backend server was running when it crashed. Immutable and
 * thread-safe.
 *
 * @param incarnation the server's incarnation that crashed
 * @param requests the fingerprints of the requests, at most {@link #MAX_REQUESTS}
 */
public record CrashReport(BackendIncarnation incarnation, Set<Long> requests) {

	/** The maximum number of requests, several times the slots of a backend server. */
	public static final int MAX_REQUESTS = 64;

	/**
	 * Copies the set.
	 * @throws IllegalArgumentException if there are too many requests
	 */
	public CrashReport {
		requests = Set.copyOf(requests);
		if (requests.size() > MAX_REQUESTS) {
			throw new IllegalArgumentException(
					"a report has %d requests, at most %d are allowed".formatted(requests.size(), MAX_REQUESTS));
		}
	}

}
