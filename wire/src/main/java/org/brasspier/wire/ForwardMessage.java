package org.brasspier.wire;

import org.brasspier.core.Failure;
import org.brasspier.core.Fence;
import org.brasspier.core.request.Answer;
import org.brasspier.core.request.CallerRequest;

/**
 * What travels on the connections over which requests are forwarded to their owner. Each
 * exchange has a number that is never used twice on one connection, so a late answer
 * can't be taken for another's. Immutable and thread-safe.
 */
public sealed interface ForwardMessage {

	/**
	 * The number of the exchange on its connection.
	 * @return at least 1
	 */
	long exchange();

	/**
	 * A request on its way to its owner.
	 *
	 * @param exchange the number of the exchange
	 * @param request the request
	 */
	record Forward(long exchange, CallerRequest request) implements ForwardMessage {

	}

	/**
	 * The backend server's whole answer.
	 *
	 * @param exchange the number of the exchange
	 * @param answer the answer
	 * @param fence the fence it was given under
	 * @param ticket the ticket for the next posting of this caller to this range
	 */
	record Answered(long exchange, Answer answer, Fence fence, String ticket) implements ForwardMessage {

	}

	/**
	 * The request was refused or failed.
	 *
	 * @param exchange the number of the exchange
	 * @param failure why
	 * @param ticket the ticket to resend with, empty if none
	 */
	record Failed(long exchange, Failure failure, String ticket) implements ForwardMessage {

	}

	/**
	 * The caller is gone; the request need not run.
	 *
	 * @param exchange the number of the exchange
	 */
	record Cancel(long exchange) implements ForwardMessage {

	}

}
