package org.brasspier.daemon.mesh;

import java.net.InetSocketAddress;

import org.brasspier.core.keys.GrantCall;
import org.brasspier.core.request.Answer;

/**
 * Encodes the calls that grant keys to a backend server or release them, and interprets
 * the answers. Implementations are stateless and thread-safe.
 */
public interface GrantProtocol {

	/**
	 * Encodes a call.
	 * @param call the call
	 * @param server address of the backend server
	 * @return the HTTP request to send
	 */
	RawRequest request(GrantCall call, InetSocketAddress server);

	/**
	 * Interprets an answer.
	 * @param answer the answer received
	 * @return the meaning of the answer
	 */
	GrantReply reply(Answer answer);

	/**
	 * Meaning of the answer to a call.
	 */
	sealed interface GrantReply {

		/**
		 * The call was carried out.
		 *
		 * @param handover token that is passed to the next holder of released keys; empty
		 * if there is none
		 */
		record Done(String handover) implements GrantReply {
		}

		/**
		 * The backend server has already seen a higher fence for one of the keys.
		 */
		record Superseded() implements GrantReply {
		}

		/**
		 * The backend server answered that it did not carry out the call.
		 *
		 * @param status HTTP status of the answer
		 */
		record Failed(int status) implements GrantReply {
		}

	}

}
