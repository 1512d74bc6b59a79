package org.brasspier.daemon.mesh;

import io.vavr.control.Either;
import org.brasspier.core.Failure;
import org.brasspier.core.request.Answer;

/**
 * How callers speak. Implementations are stateless and thread-safe.
 */
public interface CallerProtocol {

	/**
	 * Reads a request.
	 * @param raw what came
	 * @return the request, or what is wrong with it
	 */
	Either<Failure, MeshRequest> request(RawRequest raw);

	/**
	 * The answer that a backend server gave, without what concerns its connection only.
	 * @param answer the backend server's answer
	 * @return what the caller gets
	 */
	Answer relayedAnswer(Answer answer);

	/**
	 * An answer of the daemon's own.
	 * @param raw the request, to which the answer refers
	 * @param failure what happened
	 * @return what the caller gets
	 */
	Answer failureAnswer(RawRequest raw, Failure failure);

}
