package org.brasspier.daemon.internal.exchange;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

import org.brasspier.core.request.Answer;
import org.brasspier.core.request.HeaderField;
import org.brasspier.daemon.mesh.AnswerIdentity;
import org.brasspier.daemon.mesh.RawRequest;

/**
 * A call to a backend server. Immutable and thread-safe.
 *
 * @param request the HTTP request
 * @param id the id that the server repeats in its answer; empty if it repeats none
 * @param repeatable whether the call may be carried out twice
 * @param identities reads from header fields what an answer names
 * @param ownIfUnnamed accepts the answers without an id that may belong to a call without
 * one, by their heads
 */
public record ServerCall(RawRequest request, Optional<String> id, boolean repeatable,
		Function<List<HeaderField>, AnswerIdentity> identities, Predicate<Answer> ownIfUnnamed) {

	/** Reads nothing: for calls whose answers are known by their place alone. */
	public static final Function<List<HeaderField>, AnswerIdentity> NAMES_NOTHING = (headers) -> new AnswerIdentity(
			List.of(), List.of());

	/**
	 * Returns a call whose answer repeats its id.
	 * @param request the HTTP request
	 * @param id the id
	 * @param repeatable whether the call may be carried out twice
	 * @param identities reads from header fields what an answer names
	 * @return the call
	 */
	public static ServerCall withId(RawRequest request, String id, boolean repeatable,
			Function<List<HeaderField>, AnswerIdentity> identities) {
		return new ServerCall(request, Optional.of(id), repeatable, identities, (answer) -> false);
	}

	/**
	 * Returns a call whose answer names no request.
	 * @param request the HTTP request
	 * @param repeatable whether the call may be carried out twice
	 * @param identities reads from header fields what an answer names
	 * @param own accepts the answers that may belong to this call
	 * @return the call
	 */
	public static ServerCall withoutId(RawRequest request, boolean repeatable,
			Function<List<HeaderField>, AnswerIdentity> identities, Predicate<Answer> own) {
		return new ServerCall(request, Optional.empty(), repeatable, identities, own);
	}

	/**
	 * Returns a call that servers answer without any names, on connections of such calls
	 * only.
	 * @param request the HTTP request
	 * @param repeatable whether the call may be carried out twice
	 * @return the call
	 */
	public static ServerCall unidentified(RawRequest request, boolean repeatable) {
		return withoutId(request, repeatable, NAMES_NOTHING, (answer) -> true);
	}

	/**
	 * Returns a name of the call for logs.
	 * @return its id, or its target if it has none
	 */
	public String name() {
		return this.id.orElse(this.request.target());
	}

}
