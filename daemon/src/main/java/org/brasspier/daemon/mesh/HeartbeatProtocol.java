package org.brasspier.daemon.mesh;

import java.util.Optional;

import io.vavr.control.Either;
import org.brasspier.core.Failure;
import org.brasspier.core.keys.GrantAnswer;

/**
 * How backend servers announce themselves. Implementations are stateless and thread-safe.
 */
public interface HeartbeatProtocol {

	/**
	 * Reads a message.
	 * @param method the HTTP method
	 * @param path the path
	 * @param body the body
	 * @return the message, or what is wrong with it
	 */
	Either<Failure, BackendMessage> message(String method, String path, byte[] body);

	/**
	 * Writes the acknowledgement of a message.
	 * @param grants what the server is to hold; empty if nothing is said of that
	 * @return the body
	 */
	byte[] acknowledgement(Optional<GrantAnswer> grants);

}
