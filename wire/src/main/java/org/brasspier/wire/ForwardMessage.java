package org.brasspier.wire;

import java.util.Optional;
import java.util.OptionalLong;

import org.brasspier.core.Failure;
import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
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
	 * A request on its way to its owner. Its remaining time counts from its arrival.
	 *
	 * @param exchange the number of the exchange
	 * @param request the request
	 */
	record Forward(long exchange, CallerRequest request) implements ForwardMessage {

	}

	/**
	 * A request of a service that is not divided by key, admitted by the owner of its id
	 * and to be run on the backend server beside the receiver.
	 *
	 * @param exchange the number of the exchange
	 * @param request the request
	 * @param range the range of ids that the owner holds
	 * @param fence the fence it holds it under
	 * @param authorityMillis for how long the owner's lease lets the order take effect,
	 * in milliseconds from its sending
	 * @param sentNanos when it was sent, not later than the truth, in the receiver's
	 * nanoseconds since the connection's beginning; empty from a sender that tells no
	 * time
	 */
	record Execute(long exchange, CallerRequest request, KeyRange range, Fence fence, int authorityMillis,
			OptionalLong sentNanos) implements ForwardMessage {

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
	 * @param owner who owns the request as far as the answering daemon knows
	 * @param ownerFence the fence of that owner, {@link Fence#NONE} if it knows none
	 * @param backendLost whether the request ran when its backend server was lost
	 */
	record Failed(long exchange, Failure failure, String ticket, Optional<InstanceId> owner, Fence ownerFence,
			boolean backendLost) implements ForwardMessage {

	}

	/**
	 * The caller is gone; the request need not run.
	 *
	 * @param exchange the number of the exchange
	 */
	record Cancel(long exchange) implements ForwardMessage {

	}

	/**
	 * Asks whether the connection still carries anything.
	 *
	 * @param exchange a number that the reply repeats
	 */
	record Ping(long exchange) implements ForwardMessage {

	}

	/**
	 * The reply to a {@link Ping}.
	 *
	 * @param exchange the number of the ping
	 * @param sentNanos when it was sent, in its sender's nanoseconds since the
	 * connection's beginning; empty from a sender that tells no time
	 */
	record Pong(long exchange, OptionalLong sentNanos) implements ForwardMessage {

	}

}
