package org.brasspier.core.mesh;

import org.brasspier.core.Failure;
import org.brasspier.core.request.Answer;

/**
 * What came of sending a request towards a backend server. Immutable and thread-safe.
 */
public sealed interface SendOutcome {

	/**
	 * A backend server ran it and answered whole.
	 *
	 * @param answer its answer
	 */
	record Answered(Answer answer) implements SendOutcome {
	}

	/**
	 * It certainly did not run and never will.
	 *
	 * @param failure why, and when to try again
	 * @param reachedBackend whether it came as far as a backend server, which counts as a
	 * repeat if it is sent once more
	 */
	record NotRun(Failure failure, boolean reachedBackend) implements SendOutcome {
	}

	/**
	 * It may have run.
	 *
	 * @param failure what happened
	 */
	record Unknown(Failure failure) implements SendOutcome {
	}

}
