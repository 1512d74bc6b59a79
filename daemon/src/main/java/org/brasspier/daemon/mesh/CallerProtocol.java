package org.brasspier.daemon.mesh;

import io.vavr.control.Either;
import org.brasspier.core.Failure;
import org.brasspier.core.request.Answer;

/**
 * Decodes the requests of callers and builds the answers to them. Implementations are
 * stateless and thread-safe.
 */
public interface CallerProtocol {

	/**
	 * Decodes a request.
	 * @param raw the request as received
	 * @return the request, or the reason why it is invalid
	 */
	Either<Failure, MeshRequest> request(RawRequest raw);

	/**
	 * Converts a backend server's answer to the answer for the caller: removes the
	 * hop-by-hop headers.
	 * @param answer the backend server's answer
	 * @return the answer for the caller
	 */
	Answer relayedAnswer(Answer answer);

	/**
	 * Returns whether a status promises to the caller that its request has not run and
	 * never will. Such a status must not be relayed if the request has run.
	 * @param status a final HTTP status
	 * @return true if the caller may rely on it
	 */
	boolean promisesNotRun(int status);

	/**
	 * Builds the answer to a request that failed in the daemon.
	 * @param raw the request that failed
	 * @param failure the failure
	 * @return the answer for the caller
	 */
	Answer failureAnswer(RawRequest raw, Failure failure);

}
