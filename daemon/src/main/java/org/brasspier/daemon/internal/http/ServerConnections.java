package org.brasspier.daemon.internal.http;

import java.util.HashSet;
import java.util.Set;

/**
 * The open connections to one server's address, divided into sessions. A session lasts as
 * long as at least one of its connections is open. A process that ends closes all its
 * connections, and only then can another one listen at its address, so all connections of
 * a session lead to the same process. Shared by the pools of one server. Not thread-safe;
 * confined to the request thread.
 */
public final class ServerConnections {

	private final Set<BackendSocket> open = new HashSet<>();

	private Runnable onStarted = () -> {
	};

	private long session;

	/**
	 * Sets what is called after each start of a session.
	 * @param listener the listener
	 */
	public void onSessionStarted(Runnable listener) {
		this.onStarted = listener;
	}

	/**
	 * Returns the number of the latest session.
	 * @return the number; increases with each session
	 */
	public long session() {
		return this.session;
	}

	// Must be called after all events of the same poll: the end of an earlier connection
	// may be among them.
	void opened(BackendSocket socket) {
		boolean first = this.open.isEmpty();
		if (first) {
			this.session++;
		}
		this.open.add(socket);
		if (first) {
			this.onStarted.run();
		}
	}

	void closed(BackendSocket socket) {
		this.open.remove(socket);
	}

}
