package org.brasspier.daemon.internal.exchange;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

import org.brasspier.core.request.Answer;
import org.brasspier.daemon.mesh.AnswerMatch;
import org.brasspier.daemon.mesh.RawRequest;

/**
 * A call to a backend server. Immutable and thread-safe.
 *
 * @param request the HTTP request
 * @param id the id that the server repeats in its answer; empty if it repeats none
 * @param repeatable whether the call may be carried out twice
 * @param matcher determines whether an answer belongs to this call, given that the
 * connection has not carried the id before
 */
public record ServerCall(RawRequest request, Optional<String> id, boolean repeatable,
		Function<Answer, AnswerMatch> matcher) {

	/**
	 * Returns a call whose answer names no request.
	 * @param request the HTTP request
	 * @param repeatable whether the call may be carried out twice
	 * @param own accepts the answers that may belong to this call
	 * @return the call
	 */
	public static ServerCall withoutId(RawRequest request, boolean repeatable, Predicate<Answer> own) {
		return new ServerCall(request, Optional.empty(), repeatable,
				(answer) -> own.test(answer) ? new AnswerMatch.Own() : new AnswerMatch.Other(Optional.empty()));
	}

	/**
	 * Returns a name of the call for logs.
	 * @return its id, or its target if it has none
	 */
	public String name() {
		return this.id.orElse(this.request.target());
	}

}
