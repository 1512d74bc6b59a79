package org.brasspier.daemon.mesh;

import java.util.Optional;

import io.vavr.control.Either;
import org.brasspier.core.Failure;
import org.brasspier.core.keys.GrantAnswer;

/**
 * Decodes the heartbeats and departures of backend servers and encodes the
 * acknowledgements. Implementations are stateless and thread-safe.
 */
public interface HeartbeatProtocol {

	/**
	 * Decodes a message.
	 * @param method the HTTP method
	 * @param path the request path
	 * @param body the request body
	 * @return the message, or the reason why it is invalid
	 */
	Either<Failure, BackendMessage> message(String method, String path, byte[] body);

	/**
	 * Encodes the acknowledgement of a message.
	 * @param grants grants for the backend server; empty if the acknowledgement contains
	 * none
	 * @return the response body
	 */
	byte[] acknowledgement(Optional<GrantAnswer> grants);

}
