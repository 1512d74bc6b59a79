package org.brasspier.daemon.internal.request;

import org.brasspier.core.Failure;
import org.brasspier.core.Fence;
import org.brasspier.core.request.Answer;

/**
 * How a request ended, as it is relayed towards its caller. Immutable and thread-safe.
 */
public sealed interface Outcome {

	/**
	 * The ticket for the caller's next posting to this range or, after a failure, to
	 * resend with.
	 * @return empty if none
	 */
	String ticket();

	/**
	 * The backend server answered.
	 *
	 * @param answer its whole answer
	 * @param fence the fence it was given under
	 * @param ticket the ticket for the next posting
	 */
	record Answered(Answer answer, Fence fence, String ticket) implements Outcome {

	}

	/**
	 * The request was refused or failed.
	 *
	 * @param failure why
	 * @param ticket the ticket to resend with, empty if none
	 */
	record Failed(Failure failure, String ticket) implements Outcome {

	}

}
