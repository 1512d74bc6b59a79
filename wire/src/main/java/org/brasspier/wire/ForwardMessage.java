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
 * A message between two daemons on a connection that forwards requests to their owner.
 * The number of an exchange is never reused on a connection, so a late answer cannot be
 * matched to another request. Immutable and thread-safe.
 */
public sealed interface ForwardMessage {

	/**
	 * Returns the number of the exchange on its connection.
	 * @return at least 1
	 */
	long exchange();

	/**
	 * Forwards a request to its owner. Its remaining time counts from its arrival.
	 *
	 * @param exchange the number of the exchange
	 * @param request the request
	 */
	record Forward(long exchange, CallerRequest request) implements ForwardMessage {

	}

	/**
	 * Orders the receiver to run a request on its backend server. The service is not
	 * sharded; the owner of the request's id has admitted the request.
	 *
	 * @param exchange the number of the exchange
	 * @param request the request
	 * @param range the range of ids that the owner holds
	 * @param fence the fence of the owner for this range
	 * @param authorityMillis the time from sending within which the order may take effect
	 * under the owner's lease, in milliseconds
	 * @param sentNanos a lower bound of the time of sending, in nanoseconds of the
	 * receiver's clock since the start of the connection; empty if the sender does not
	 * report it
	 */
	record Execute(long exchange, CallerRequest request, KeyRange range, Fence fence, int authorityMillis,
			OptionalLong sentNanos) implements ForwardMessage {

	}

	/**
	 * The complete answer of the backend server.
	 *
	 * @param exchange the number of the exchange
	 * @param answer the answer
	 * @param fence the fence under which the request ran
	 * @param ticket the ticket for this caller's next request to this range
	 */
	record Answered(long exchange, Answer answer, Fence fence, String ticket) implements ForwardMessage {

	}

	/**
	 * Reports that the request was rejected or failed.
	 *
	 * @param exchange the number of the exchange
	 * @param failure the reason
	 * @param ticket the ticket to resend with, empty if none
	 * @param owner the owner of the request as known to the answering daemon
	 * @param ownerFence the fence of that owner, {@link Fence#NONE} if no owner is known
	 * @param backendLost whether the backend server was lost while the request ran
	 */
	record Failed(long exchange, Failure failure, String ticket, Optional<InstanceId> owner, Fence ownerFence,
			boolean backendLost) implements ForwardMessage {

	}

	/**
	 * Cancels the request because its caller has disconnected.
	 *
	 * @param exchange the number of the exchange
	 */
	record Cancel(long exchange) implements ForwardMessage {

	}

	/**
	 * Checks that the connection still transports messages.
	 *
	 * @param exchange a number that the reply repeats
	 */
	record Ping(long exchange) implements ForwardMessage {

	}

	/**
	 * The reply to a {@link Ping}.
	 *
	 * @param exchange the number of the ping
	 * @param sentNanos the time of sending, in nanoseconds of the sender's clock since
	 * the start of the connection; empty if the sender does not report it
	 */
	record Pong(long exchange, OptionalLong sentNanos) implements ForwardMessage {

	}

}
