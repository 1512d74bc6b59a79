package org.brasspier.daemon.internal.backend;

import java.time.Duration;

import org.brasspier.core.request.Answer;

/**
 * The result of a request to the backend server. Immutable and thread-safe.
 */
public sealed interface BackendReply {

	/**
	 * A complete answer came, so the request ran.
	 *
	 * @param answer the answer
	 */
	record Whole(Answer answer) implements BackendReply {

	}

	/**
	 * The server shed the request, which certainly did not run.
	 *
	 * @param retryAfter delay that the server asks for before a retry; zero if it states
	 * none
	 */
	record Shed(Duration retryAfter) implements BackendReply {

	}

	/** The server rejected the fence as not the granted one; the request did not run. */
	record FenceRefused() implements BackendReply {

	}

	/**
	 * No byte of the request left this process, so it certainly did not run.
	 *
	 * @param reason why
	 */
	record NotSent(String reason) implements BackendReply {

	}

	/**
	 * The connection ended after the request was sent and before any answer.
	 *
	 * @param reason why
	 */
	record Broken(String reason) implements BackendReply {

	}

	/**
	 * The answer is not HTTP, is truncated, is too large, has no stated length, or
	 * belongs to another request.
	 *
	 * @param reason which of these
	 */
	record BadAnswer(String reason) implements BackendReply {

	}

	/** No answer came in time. */
	record TimedOut() implements BackendReply {

	}

}
