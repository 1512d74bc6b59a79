package org.brasspier.daemon.internal.http;

import java.util.HashSet;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * The open connections to one server's address, divided into sessions. A session lasts as
 * long as at least one of its connections is open. A process that ends closes all its
 * connections, and only then can another one listen at its address, so all connections of
 * a session lead to the same process. Shared by the pools of one server. Not thread-safe;
 * confined to the request thread.
 */
public final class ServerConnections {

	private final Set<BackendSocket> open = new HashSet<>();

	private @Nullable BackendSocket retired;

	private Runnable onStarted = () -> {
	};

	private long session;

	private long startedNanos = System.nanoTime();

	/**
	 * Sets what is called after each start of a session.
	 * @param listener the listener
	 */
	public void onSessionStarted(Runnable listener) {
		this.onStarted = listener;
	}

	/**
	 * Returns whether a session is in progress.
	 * @return false if no connection is open
	 */
	public boolean isOpen() {
		return !this.open.isEmpty();
	}

	/**
	 * Returns the number of the latest session.
	 * @return the number; increases with each session
	 */
	public long session() {
		return this.session;
	}

	/**
	 * Returns when the latest session started.
	 * @return nanoseconds of the steady clock
	 */
	public long startedNanos() {
		return this.startedNanos;
	}

	/**
	 * Ends the session, since another process is known to listen at the address. Its
	 * connections finish what they carry and are not used again.
	 */
	public void endSession() {
		this.open.clear();
		this.session++;
		closeRetired();
	}

	// Must be called after all events of the same poll: the end of an earlier connection
	// may be among them.
	void opened(BackendSocket socket) {
		boolean first = this.open.isEmpty();
		if (first) {
			this.session++;
			this.startedNanos = System.nanoTime();
		}
		socket.joinSession(this.session);
		this.open.add(socket);
		closeRetired();
		if (first) {
			this.onStarted.run();
		}
	}

	void closed(BackendSocket socket) {
		this.open.remove(socket);
	}

	// Closes a connection that can't be used any more. The last one is kept until another
	// has opened, since the session would end with it.
	void retire(BackendSocket socket) {
		if (this.open.size() == 1 && this.open.contains(socket)) {
			this.retired = socket;
		}
		else {
			socket.close();
		}
	}

	private void closeRetired() {
		BackendSocket last = this.retired;
		this.retired = null;
		if (last != null) {
			last.close();
		}
	}

}
