package org.brasspier.core.admission;

import java.util.Optional;

import org.brasspier.core.Failure;

/**
 * What becomes of a request that asks to be run. Immutable and thread-safe.
 */
public sealed interface AdmissionDecision {

	/**
	 * It runs now and holds a slot until {@link AdmissionController#finished}.
	 */
	record Run() implements AdmissionDecision {

	}

	/**
	 * It waits. Its end of waiting comes from a later call.
	 *
	 * @param displaced a waiting request of a caller beyond its share that had to make
	 * room and must get its answer now
	 */
	record Queued(Optional<RefusedRequest> displaced) implements AdmissionDecision {

	}

	/**
	 * It is refused at once and certainly did not run.
	 *
	 * @param failure the kind of error and when to try again
	 */
	record Refuse(Failure failure) implements AdmissionDecision {

	}

}
