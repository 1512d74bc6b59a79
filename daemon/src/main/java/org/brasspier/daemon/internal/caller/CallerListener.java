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
 * Listens for callers, and ends that in a planned stop without cutting a request off.
 *
 * <p>
 * It guards against a request that is on its way over a kept connection in the moment the
 * daemon closes it: its caller sees a reset, and can't know whether a posting ran. Each
 * answer promises in {@code Keep-Alive} for how long its connection may be used again. A
 * daemon that leaves refuses new connections at once, so that callers go elsewhere before
 * they send anything, and answers on the open ones for as long as the promise lasts; who
 * keeps to it sends nothing afterwards. Belongs to the thread of requests.
 */
public final class CallerListener {

	/**
	 * A connection may be used again for so long after its last answer. Short, since a
	 * planned stop has to last as long; long enough for a caller that asks each second.
	 */
	static final Duration REUSE = Duration.ofSeconds(2);

	/** The way to a caller and back, and a pause of either end, on top of the promise. */
	private static final Duration ALLOWANCE = Duration.ofMillis(500);

	private static final Duration LOOK_AGAIN = Duration.ofMillis(20);

	private final NioReactor reactor;

	private final HttpServer server;

	private final InetSocketAddress address;

	private @Nullable ServerSocketChannel channel;

	private long heldUntilNanos = System.nanoTime();

	CallerListener(NioReactor reactor, HttpServer server, InetSocketAddress address) {
		this.reactor = reactor;
		this.server = server;
		this.address = address;
	}

	/**
	 * Opens the port.
	 * @throws IOException if it can't be opened
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
	 * Refuses new connections from now on. Those that wait to be accepted are taken
	 * first: the kernel would reset them, though their callers may have sent something.
	 */
	public void refuseNew() {
		this.heldUntilNanos = System.nanoTime() + REUSE.plus(ALLOWANCE).toNanos();
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
			// What waits can't be taken any more; closing is all that is left.
		}
		this.reactor.closeChannel(open, open.keyFor(this.reactor.ensureSelector()));
		this.channel = null;
	}

	/**
	 * Closes all connections as soon as no caller may use one any more and all requests
	 * are answered.
	 * @param closed called when the last one is closed
	 */
	public void close(Runnable closed) {
		boolean unused = this.server.getConnectionsCount() == 0;
		if (unused || System.nanoTime() - this.heldUntilNanos >= 0) {
			this.server.close().whenComplete(closed::run);
		}
		else {
			this.reactor.delay(LOOK_AGAIN, () -> close(closed));
		}
	}

}
