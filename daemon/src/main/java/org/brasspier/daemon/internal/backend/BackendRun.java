package org.brasspier.daemon.internal.backend;

import io.activej.promise.Promise;

/**
 * A request in flight to the backend server. Not thread-safe; confined to the request
 * thread.
 */
public interface BackendRun {

	/**
	 * Returns the result of the request.
	 * @return the reply; never an exception
	 */
	Promise<BackendReply> reply();

	/**
	 * Closes the connection if no reply has come yet; the reply is then
	 * {@link BackendReply.Broken}.
	 * @param reason why
	 */
	void abandon(String reason);

}
