package org.brasspier.core.mesh;

import org.brasspier.core.Failure;
import org.brasspier.core.request.Answer;

/**
 * The outcome of sending a request towards a backend server. Immutable and thread-safe.
 */
public sealed interface SendOutcome {

	/**
	 * A backend server ran it, and its answer is complete.
	 *
	 * @param answer its answer
	 */
	record Answered(Answer answer) implements SendOutcome {
	}

	/**
	 * It certainly did not run and never will.
	 *
	 * @param failure why, and when to retry
	 * @param reachedBackend whether it reached a backend server, so that sending it again
	 * counts as a retry
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
