package org.brasspier.daemon.internal.http;

import org.brasspier.core.request.Answer;

/**
 * How an order to a backend server ended. Immutable and thread-safe.
 */
public sealed interface BackendReply {

	/**
	 * An answer came whole.
	 *
	 * @param answer the answer
	 */
	record Whole(Answer answer) implements BackendReply {
	}

	/**
	 * No byte of the order left this process, so it certainly did not run.
	 *
	 * @param reason why
	 */
	record NotSent(String reason) implements BackendReply {
	}

	/**
	 * Nothing listens at the server's address, so the order certainly did not run.
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
	 * What came is no answer, or is cut short.
	 *
	 * @param reason which of them
	 */
	record Garbled(String reason) implements BackendReply {
	}

	/** The order was given up here. */
	record GivenUp() implements BackendReply {
	}

}
