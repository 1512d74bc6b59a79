package org.brasspier.daemon.internal.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.net.ServerSocketSettings;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.Failure;
import org.brasspier.core.mesh.CallerLimits;
import org.brasspier.core.request.Answer;
import org.brasspier.daemon.internal.loop.IsolatedTask;
import org.brasspier.daemon.internal.request.Cancellation;
import org.brasspier.daemon.mesh.RawRequest;
import org.jspecify.annotations.Nullable;

/**
 * The HTTP server for callers. Not thread-safe; confined to the request thread.
 */
public final class CallerServer {

	private static final Duration TIMEOUT_CHECK_INTERVAL = Duration.ofSeconds(1);

	private static final SocketSettings SOCKETS = SocketSettings.builder().withTcpNoDelay(true).build();

	/** Length of the accept queue, for times when the daemon is busy or paused. */
	private static final int BACKLOG = 1024;

	private final NioReactor reactor;

	private final InetSocketAddress address;

	private final Handler handler;

	private final Supplier<CallerLimits> limits;

	private final BodyBudget bodies;

	private final Set<CallerSocket> sockets = new HashSet<>();

	private final List<CallerSocket> received = new ArrayList<>();

	private @Nullable ServerSocketChannel channel;

	private long lastRequestNanos = System.nanoTime();

	private boolean leaving;

	/**
	 * Creates a server that doesn't listen yet.
	 * @param reactor the reactor of the request thread
	 * @param address the address to listen on
	 * @param handler serves the requests
	 * @param limits supplies the limits currently in force
	 * @param bodies the memory for the bodies of requests
	 */
	public CallerServer(NioReactor reactor, InetSocketAddress address, Handler handler, Supplier<CallerLimits> limits,
			BodyBudget bodies) {
		this.reactor = reactor;
		this.address = address;
		this.handler = handler;
		this.limits = limits;
		this.bodies = bodies;
	}

	/**
	 * Opens the port.
	 * @throws IOException if the port can't be opened
	 */
	public void listen() throws IOException {
		ServerSocketSettings settings = ServerSocketSettings.builder().withBacklog(BACKLOG).build();
		this.channel = this.reactor.listen(this.address, settings, this::accept);
		this.reactor.delayBackground(TIMEOUT_CHECK_INTERVAL, this::checkTimeouts);
	}

	private void accept(SocketChannel accepted) {
		try {
			TcpSocket socket = TcpSocket.wrapChannel(this.reactor, accepted, SOCKETS);
			CallerSocket caller = new CallerSocket(socket, this, this.limits.get(), this.bodies, System.nanoTime());
			this.sockets.add(caller);
			caller.begin();
		}
		catch (IOException ex) {
			this.handler.malformed("a connection can't be taken: " + ex.getMessage());
			this.reactor.closeChannel(accepted, null);
		}
	}

	private void checkTimeouts() {
		this.reactor.delayBackground(TIMEOUT_CHECK_INTERVAL, this::checkTimeouts);
		long now = System.nanoTime();
		List.copyOf(this.sockets)
			.forEach((socket) -> IsolatedTask.run(() -> socket.checkTimeouts(now), socket::onDisconnect));
	}

	/**
	 * Closes each connection with the answer to its last request: no further request is
	 * taken from a connection that has an unanswered one, and one from each other.
	 */
	public void leave() {
		this.leaving = true;
		List.copyOf(this.sockets).forEach(CallerSocket::leave);
	}

	/**
	 * Closes the port to new connections. Connections in the accept queue are accepted
	 * first: the kernel would reset them, though their callers may have sent a request.
	 */
	public void refuseNew() {
		ServerSocketChannel listening = this.channel;
		this.channel = null;
		if (listening == null) {
			return;
		}
		try {
			for (SocketChannel waiting = listening.accept(); waiting != null; waiting = listening.accept()) {
				waiting.configureBlocking(false);
				accept(waiting);
			}
		}
		catch (IOException ex) {
			this.handler.malformed("waiting connections can't be taken: " + ex.getMessage());
		}
		this.reactor.closeChannel(listening, listening.keyFor(this.reactor.ensureSelector()));
	}

	/**
	 * Closes connections with no request in flight.
	 * @return whether none are left
	 */
	public boolean closeIdle() {
		long now = System.nanoTime();
		List.copyOf(this.sockets).forEach((socket) -> socket.closeIfIdle(now));
		return this.sockets.isEmpty();
	}

	/**
	 * Returns the number of open connections.
	 * @return at least 0
	 */
	public int openConnections() {
		return this.sockets.size();
	}

	/**
	 * Returns how long ago a whole request was received.
	 * @return the time; since the port was opened if there was no request
	 */
	public Duration sinceLastRequest() {
		return Duration.ofNanos(System.nanoTime() - this.lastRequestNanos);
	}

	boolean leaving() {
		return this.leaving;
	}

	// A task that a local task schedules without delay runs after the next poll.
	void serveAfterNextPoll(CallerSocket socket) {
		this.lastRequestNanos = System.nanoTime();
		this.received.add(socket);
		if (this.received.size() == 1) {
			this.reactor.post(() -> this.reactor.delay(Duration.ZERO, this::serveReceived));
		}
	}

	private void serveReceived() {
		List<CallerSocket> ready = List.copyOf(this.received);
		this.received.clear();
		ready.forEach((socket) -> IsolatedTask.run(socket::serveReceived, socket::onDisconnect));
	}

	Answer abandoned(RawRequest request) {
		return this.handler.abandoned(request);
	}

	Promise<Answer> serve(RawRequest request, Cancellation cancellation) {
		return this.handler.serve(request, cancellation);
	}

	Answer failed(RawRequest request, Failure failure) {
		return this.handler.failed(request, failure);
	}

	void malformed(String detail) {
		this.handler.malformed(detail);
	}

	void closed(CallerSocket socket) {
		this.sockets.remove(socket);
	}

	/**
	 * Serves requests.
	 */
	public interface Handler {

		/**
		 * Serves a request.
		 * @param request the request
		 * @param cancellation cancelled when the caller disconnects
		 * @return the answer; never an exception
		 */
		Promise<Answer> serve(RawRequest request, Cancellation cancellation);

		/**
		 * Returns the answer to a request that can't be served.
		 * @param request the part of the request that was received
		 * @param failure the reason
		 * @return the answer
		 */
		Answer failed(RawRequest request, Failure failure);

		/**
		 * Counts and logs a request whose caller left before it was served.
		 * @param request the request
		 * @return the answer, for a caller that closed only its sending side
		 */
		Answer abandoned(RawRequest request);

		/**
		 * Counts and logs input that is not an HTTP request.
		 * @param detail what is wrong with the input
		 */
		void malformed(String detail);

	}

}
