package org.brasspier.daemon.mesh;

import java.util.Optional;

/**
 * Whether an answer on a connection to a backend server belongs to the request that was
 * sent last. Immutable and thread-safe.
 */
public sealed interface AnswerMatch {

	/** The answer names the request. */
	record Own() implements AnswerMatch {
	}

	/**
	 * The answer belongs to another request or is no backend server's; the right one may
	 * still arrive.
	 *
	 * @param id the id in the answer; empty if it has none
	 */
	record Other(Optional<String> id) implements AnswerMatch {
	}

	/**
	 * The answer is a failure that names no request, so it may belong to any or none.
	 */
	record Unnamed() implements AnswerMatch {
	}

}
