package org.brasspier.core.admission;

import java.util.Optional;

import org.brasspier.core.Failure;

/**
 * Decision on a request that was offered. Immutable and thread-safe.
 */
public sealed interface AdmissionDecision {

	/**
	 * The request runs now and holds a slot until {@link AdmissionController#finished}.
	 */
	record Run() implements AdmissionDecision {

	}

	/**
	 * The request waits. A later call returns whether it runs or is refused.
	 *
	 * @param displaced a waiting request of a caller above its share, which was removed
	 * to make room and must be answered now
	 */
	record Queued(Optional<RefusedRequest> displaced) implements AdmissionDecision {

	}

	/**
	 * The request is refused and certainly did not run.
	 *
	 * @param failure the kind of error and when to retry
	 */
	record Refuse(Failure failure) implements AdmissionDecision {

	}

}
