package org.brasspier.daemon.internal.http;

import org.brasspier.core.request.Answer;

/**
 * The result of a request to a backend server. Immutable and thread-safe.
 */
public sealed interface BackendReply {

	/**
	 * A complete answer came.
	 *
	 * @param answer the answer
	 */
	record Whole(Answer answer) implements BackendReply {
	}

	/**
	 * No byte of the request left this process, so it certainly did not run.
	 *
	 * @param reason why
	 */
	record NotSent(String reason) implements BackendReply {
	}

	/**
	 * Nothing listens at the server's address, so the request certainly did not run.
	 */
	record Closed() implements BackendReply {
	}

	/**
	 * The connection ended before any answer.
	 *
	 * @param reason why
	 */
	record Broken(String reason) implements BackendReply {
	}

	/**
	 * The answer is malformed or truncated.
	 *
	 * @param reason which of these
	 */
	record Garbled(String reason) implements BackendReply {
	}

	/** This daemon abandoned the request. */
	record GivenUp() implements BackendReply {
	}

}
