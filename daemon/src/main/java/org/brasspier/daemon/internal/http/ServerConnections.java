package org.brasspier.daemon.internal.http;

import java.time.Duration;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;

import org.brasspier.daemon.internal.exchange.ExchangeRecorder;
import org.jspecify.annotations.Nullable;

/**
 * The open connections to one server's address, and which of them are known to lead to
 * the same process: the members of a session. A process that ends may leave its
 * connections open and silent while the next one accepts new ones. So a new connection
 * joins the session once a member has answered something that was sent after the new
 * connection had opened: the member's process still listened at the address then. The
 * first connection after a session starts the next one. Shared by the pools of one
 * server. Not thread-safe; confined to the request thread.
 */
public final class ServerConnections {

	/**
	 * How long a call waits for a connection to join. A member that carries requests
	 * answers sooner.
	 */
	private static final Duration JOIN_TIMEOUT = Duration.ofMillis(500);

	private final Set<BackendSocket> members = new HashSet<>();

	private final Set<BackendSocket> candidates = new HashSet<>();

	private final ExchangeRecorder exchanges = new ExchangeRecorder();

	private @Nullable BackendSocket retired;

	private Runnable onStarted = () -> {
	};

	private long session;

	private long startedNanos = System.nanoTime();

	private OptionalLong blockedSinceNanos = OptionalLong.empty();

	// Orders the opening of connections and the sending of requests.
	private long mark;

	/**
	 * Sets what is called after each start of a session.
	 * @param listener the listener
	 */
	public void onSessionStarted(Runnable listener) {
		this.onStarted = listener;
	}

	/**
	 * Returns what is recorded of the exchanges on these connections.
	 * @return the recorder
	 */
	public ExchangeRecorder exchanges() {
		return this.exchanges;
	}

	/**
	 * Returns whether a session is in progress.
	 * @return false if it has no open connection
	 */
	public boolean isOpen() {
		return !this.members.isEmpty();
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
	 * Ends the session, since another process may listen at the address. Its connections
	 * finish what they carry.
	 */
	public void endSession() {
		this.members.clear();
		this.candidates.clear();
		this.blockedSinceNanos = OptionalLong.empty();
		closeRetired();
	}

	/**
	 * Ends the session if a call has waited for too long for a connection to join.
	 */
	public void endSilentSession() {
		long now = System.nanoTime();
		if (this.blockedSinceNanos.isPresent() && now - this.blockedSinceNanos.getAsLong() >= JOIN_TIMEOUT.toNanos()) {
			endSession();
		}
	}

	// Records that a call can't be sent until a connection has joined.
	void recordBlocked() {
		if (this.blockedSinceNanos.isEmpty()) {
			this.blockedSinceNanos = OptionalLong.of(System.nanoTime());
		}
	}

	boolean isMember(BackendSocket socket) {
		return this.members.contains(socket);
	}

	// Returns whether other connections can join the session only by the next answer on
	// this one.
	boolean isOnlyMember(BackendSocket socket) {
		return this.members.size() == 1 && this.members.contains(socket);
	}

	// Returns whether a connection is of an earlier session and can't join this one.
	boolean isOutside(BackendSocket socket) {
		return !this.members.contains(socket) && !this.candidates.contains(socket);
	}

	long nextMark() {
		this.mark++;
		return this.mark;
	}

	void opened(BackendSocket socket) {
		if (!this.members.isEmpty()) {
			this.candidates.add(socket);
			return;
		}
		this.session++;
		this.startedNanos = System.nanoTime();
		this.members.add(socket);
		this.onStarted.run();
	}

	/**
	 * Records that a connection carried the answer to a request.
	 * @param socket the connection
	 * @param sentMark the mark at which the request was sent
	 */
	void answered(BackendSocket socket, long sentMark) {
		if (!this.members.contains(socket)) {
			return;
		}
		this.candidates.removeIf((candidate) -> {
			boolean joins = candidate.openedMark() < sentMark;
			if (joins) {
				this.members.add(candidate);
				this.blockedSinceNanos = OptionalLong.empty();
			}
			return joins;
		});
		if (this.retired != socket && this.members.size() > 1) {
			closeRetired();
		}
	}

	void closed(BackendSocket socket) {
		this.candidates.remove(socket);
		if (this.members.remove(socket) && this.members.isEmpty()) {
			endSession();
		}
	}

	// Closes a connection that can't be used any more. The last member is kept until
	// another one has carried an answer, since the session would end with it.
	void retire(BackendSocket socket) {
		if (isOnlyMember(socket)) {
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
