package org.brasspier.daemon.mesh;

import org.brasspier.core.request.Answer;

/**
 * How backend servers take requests. Implementations are stateless and thread-safe.
 */
public interface BackendProtocol {

	/**
	 * Writes an order.
	 * @param order the order
	 * @return what is sent
	 */
	RawRequest request(BackendRequest order);

	/**
	 * Reads what an answer says.
	 * @param order the order that was sent
	 * @param answer what came
	 * @return its meaning
	 */
	Verdict verdict(BackendRequest order, Answer answer);

	/**
	 * What an answer of a backend server means.
	 */
	enum Verdict {

		/** It answers the order, which ran. */
		RAN,
		/** It says that the order did not run. */
		NOT_RUN,
		/** It answers an earlier order; the right one may still come. */
		OTHER_REQUEST

	}

}
