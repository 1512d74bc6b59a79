package org.brasspier.daemon.internal.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
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
import org.brasspier.daemon.internal.request.Cancellation;
import org.brasspier.daemon.mesh.RawRequest;
import org.jspecify.annotations.Nullable;

/**
 * The port for callers. Belongs to the thread of requests.
 */
public final class CallerServer {

	private static final Duration LOOK_EVERY = Duration.ofSeconds(1);

	private static final SocketSettings SOCKETS = SocketSettings.builder().withTcpNoDelay(true).build();

	/** Connections that may wait to be accepted while the daemon is busy or paused. */
	private static final int BACKLOG = 1024;

	private final NioReactor reactor;

	private final InetSocketAddress address;

	private final Handler handler;

	private final Supplier<CallerLimits> limits;

	private final Set<CallerSocket> sockets = new HashSet<>();

	private @Nullable ServerSocketChannel channel;

	private boolean leaving;

	/**
	 * Creates a port that doesn't listen yet.
	 * @param reactor the reactor of the thread of requests
	 * @param address where to listen
	 * @param handler serves the requests
	 * @param limits what callers may send, as in force now
	 */
	public CallerServer(NioReactor reactor, InetSocketAddress address, Handler handler, Supplier<CallerLimits> limits) {
		this.reactor = reactor;
		this.address = address;
		this.handler = handler;
		this.limits = limits;
	}

	/**
	 * Opens the port.
	 * @throws IOException if it can't be opened
	 */
	public void listen() throws IOException {
		ServerSocketSettings settings = ServerSocketSettings.builder().withBacklog(BACKLOG).build();
		this.channel = this.reactor.listen(this.address, settings, this::accept);
		this.reactor.delayBackground(LOOK_EVERY, this::look);
	}

	private void accept(SocketChannel accepted) {
		try {
			TcpSocket socket = TcpSocket.wrapChannel(this.reactor, accepted, SOCKETS);
			CallerSocket caller = new CallerSocket(socket, this, this.limits.get(), System.nanoTime());
			this.sockets.add(caller);
			caller.begin();
		}
		catch (IOException ex) {
			this.handler.malformed("a connection can't be taken: " + ex.getMessage());
			this.reactor.closeChannel(accepted, null);
		}
	}

	private void look() {
		this.reactor.delayBackground(LOOK_EVERY, this::look);
		long now = System.nanoTime();
		List.copyOf(this.sockets).forEach((socket) -> socket.look(now));
	}

	/**
	 * Tells callers with each answer from now on that their connection ends.
	 */
	public void leave() {
		this.leaving = true;
	}

	/**
	 * Refuses new connections. Those that wait to be accepted are taken first: the kernel
	 * would reset them, though their callers may have sent something.
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
	 * Closes connections on which nothing is asked for.
	 * @return whether none are left
	 */
	public boolean closeIdle() {
		List.copyOf(this.sockets).forEach(CallerSocket::closeIfIdle);
		return this.sockets.isEmpty();
	}

	boolean leaving() {
		return this.leaving;
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
		 * @param cancellation tells when its caller is gone
		 * @return the answer; never an exception
		 */
		Promise<Answer> serve(RawRequest request, Cancellation cancellation);

		/**
		 * The answer to a request that can't be served as it is.
		 * @param request as much of it as came
		 * @param failure what is wrong
		 * @return the answer
		 */
		Answer failed(RawRequest request, Failure failure);

		/**
		 * Counts and logs what is no request.
		 * @param detail what came
		 */
		void malformed(String detail);

	}

}
