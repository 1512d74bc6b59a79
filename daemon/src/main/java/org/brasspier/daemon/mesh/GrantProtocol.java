package org.brasspier.daemon.mesh;

import java.net.InetSocketAddress;

import org.brasspier.core.keys.GrantCall;
import org.brasspier.core.request.Answer;

/**
 * How backend servers are called to grant and to release keys. Implementations are
 * stateless and thread-safe.
 */
public interface GrantProtocol {

	/**
	 * Writes a call.
	 * @param call the call
	 * @param server where the backend server listens
	 * @return what is sent
	 */
	RawRequest request(GrantCall call, InetSocketAddress server);

	/**
	 * Reads what an answer says.
	 * @param answer what came
	 * @return its meaning
	 */
	GrantReply reply(Answer answer);

	/**
	 * What an answer to a call means.
	 */
	sealed interface GrantReply {

		/**
		 * The call was carried out.
		 *
		 * @param handover what goes to the next holder of released keys; empty if nothing
		 */
		record Done(String handover) implements GrantReply {
		}

		/**
		 * The backend server has seen a higher fence on one of the keys.
		 */
		record Superseded() implements GrantReply {
		}

		/**
		 * The backend server did not carry the call out, as far as it says.
		 *
		 * @param status the status that it gave
		 */
		record Failed(int status) implements GrantReply {
		}

	}

}
