package org.brasspier.daemon.mesh;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.request.Answer;
import org.brasspier.core.request.HeaderField;

/**
 * Encodes requests to backend servers and interprets their answers. Implementations are
 * stateless and thread-safe.
 */
public interface BackendProtocol {

	/**
	 * Encodes a request.
	 * @param request the request
	 * @return the HTTP request to send
	 */
	RawRequest request(BackendRequest request);

	/**
	 * Reads what an answer says of the request that it belongs to.
	 * @param headers the header fields of the answer
	 * @return what it names
	 */
	AnswerIdentity identity(List<HeaderField> headers);

	/**
	 * Interprets the answer to a request.
	 * @param request the request that was sent
	 * @param answer its answer
	 * @return the verdict
	 */
	Verdict verdict(BackendRequest request, Answer answer);

	/**
	 * Reads what a backend server states about itself in an answer.
	 * @param request the request that was sent
	 * @param answer the answer received
	 * @return the notice; empty if another server than the expected one answered
	 */
	Optional<ServerNotice> notice(BackendRequest request, Answer answer);

	/**
	 * Encodes a health check.
	 * @param path the path of the health check
	 * @return the HTTP request to send
	 */
	RawRequest healthCheck(String path);

	/**
	 * Reads the answer to a health check.
	 * @param server the server that is expected to answer
	 * @param answer the answer received
	 * @return how long the server stays cold, zero if it is warm; empty if this is no
	 * answer of that server to a health check
	 */
	Optional<Duration> coldRemaining(BackendIncarnation server, Answer answer);

	/**
	 * Meaning of a backend server's answer.
	 */
	enum Verdict {

		/** The request ran, and this is its answer. */
		RAN,
		/** The backend server states that the request did not run. */
		NOT_RUN

	}

}
