package org.brasspier.daemon.internal.backend;

import io.activej.promise.Promise;

/**
 * One order that the backend server is at. Belongs to the thread of requests.
 */
public interface BackendRun {

	/**
	 * How the order ends.
	 * @return the reply; never an exception
	 */
	Promise<BackendReply> reply();

	/**
	 * Closes its connection if it still waits; the reply is then
	 * {@link BackendReply.Broken}.
	 * @param reason why
	 */
	void abandon(String reason);

}
