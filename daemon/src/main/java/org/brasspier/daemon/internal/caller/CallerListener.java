package org.brasspier.daemon.internal.caller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;

import io.activej.http.HttpServer;
import io.activej.reactor.net.ServerSocketSettings;
import io.activej.reactor.nio.NioReactor;
import org.jspecify.annotations.Nullable;

/**
 * Listens for callers, and closes the port in a planned stop without cutting off a
 * request.
 *
 * <p>
 * A request may be in transit on a persistent connection at the moment the daemon closes
 * it: its caller sees a reset and can't know whether a posting ran. Therefore each answer
 * states in {@code Keep-Alive} how long its connection may be reused. A daemon that stops
 * refuses new connections at once, so that callers go elsewhere before they send
 * anything, and serves the open ones until that time has passed; a caller that respects
 * it sends nothing afterwards. Not thread-safe; confined to the request thread.
 */
public final class CallerListener {

	/**
	 * How long a connection may be reused after its last answer. Short, since a planned
	 * stop lasts at least as long; long enough for a caller that sends a request each
	 * second.
	 */
	static final Duration REUSE = Duration.ofSeconds(2);

	/**
	 * Added to the reuse time for the round trip to a caller and a pause of either
	 * process.
	 */
	private static final Duration REUSE_MARGIN = Duration.ofMillis(500);

	private static final Duration CLOSE_CHECK_INTERVAL = Duration.ofMillis(20);

	private final NioReactor reactor;

	private final HttpServer server;

	private final InetSocketAddress address;

	private @Nullable ServerSocketChannel channel;

	private long reusableUntilNanos = System.nanoTime();

	CallerListener(NioReactor reactor, HttpServer server, InetSocketAddress address) {
		this.reactor = reactor;
		this.server = server;
		this.address = address;
	}

	/**
	 * Opens the port.
	 * @throws IOException if the port can't be opened
	 */
	public void listen() throws IOException {
		this.server.listen();
		this.channel = this.reactor.listen(this.address, ServerSocketSettings.defaultInstance(), this::accept);
	}

	private void accept(SocketChannel accepted) {
		try {
			InetSocketAddress caller = (InetSocketAddress) accepted.getRemoteAddress();
			this.server.doAccept(accepted, this.address, caller, false, this.server.getSocketSettings());
		}
		catch (IOException ex) {
			this.reactor.closeChannel(accepted, null);
		}
	}

	/**
	 * Closes the port to new connections. Connections in the backlog are accepted first:
	 * the kernel would reset them, though their callers may have sent a request.
	 */
	public void refuseNew() {
		this.reusableUntilNanos = System.nanoTime() + REUSE.plus(REUSE_MARGIN).toNanos();
		ServerSocketChannel open = this.channel;
		if (open == null) {
			return;
		}
		try {
			for (SocketChannel waiting = open.accept(); waiting != null; waiting = open.accept()) {
				waiting.configureBlocking(false);
				accept(waiting);
			}
		}
		catch (IOException ex) {
			// The backlog can't be accepted any more; the port is closed anyway.
		}
		this.reactor.closeChannel(open, open.keyFor(this.reactor.ensureSelector()));
		this.channel = null;
	}

	/**
	 * Closes all connections as soon as none may be reused any more and all requests are
	 * answered.
	 * @param closed called when the last one is closed
	 */
	public void close(Runnable closed) {
		boolean unused = this.server.getConnectionsCount() == 0;
		if (unused || System.nanoTime() - this.reusableUntilNanos >= 0) {
			this.server.close().whenComplete(closed::run);
		}
		else {
			this.reactor.delay(CLOSE_CHECK_INTERVAL, () -> close(closed));
		}
	}

}
