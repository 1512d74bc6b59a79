package org.brasspier.daemon.internal.backend;

import java.time.Duration;

import org.brasspier.core.request.Answer;

/**
 * How an order to the backend server ended. Immutable and thread-safe.
 */
public sealed interface BackendReply {

	/**
	 * It answered whole, so the order ran.
	 *
	 * @param answer the answer
	 */
	record Whole(Answer answer) implements BackendReply {

	}

	/**
	 * It says that it shed the order, which certainly did not run.
	 *
	 * @param retryAfter when it wants to be asked again; zero if it doesn't say
	 */
	record Shed(Duration retryAfter) implements BackendReply {

	}

	/** It says that the fence is not the granted one; the order did not run. */
	record FenceRefused() implements BackendReply {

	}

	/**
	 * No byte of the order left this process, so it certainly did not run.
	 *
	 * @param reason why
	 */
	record NotSent(String reason) implements BackendReply {

	}

	/**
	 * The connection ended after the order was sent and before any answer.
	 *
	 * @param reason why
	 */
	record Broken(String reason) implements BackendReply {

	}

	/**
	 * What came is no HTTP answer, is cut short, is too large, or has no stated length.
	 *
	 * @param reason which of them
	 */
	record BadAnswer(String reason) implements BackendReply {

	}

	/** It did not answer in time. */
	record TimedOut() implements BackendReply {

	}

}
