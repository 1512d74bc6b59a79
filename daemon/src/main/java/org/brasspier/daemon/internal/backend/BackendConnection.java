package org.brasspier.daemon.internal.backend;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

import io.activej.async.exception.AsyncCloseException;
import io.activej.async.exception.AsyncTimeoutException;
import io.activej.bytebuf.ByteBuf;
import io.activej.dns.DnsClient;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.daemon.internal.loop.SocketEvents;

/**
 * One connection to the backend server, with one order on it at a time. An HTTP client
 * with a pool of its own can't tell which of its connections went silent nor close just
 * that one, so each connection has a client for itself. Belongs to the thread of
 * requests.
 */
final class BackendConnection {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

	/**
	 * A connection that rests longer is closed: one that went silent while it rested
	 * would cost the next order its deadline, a new one costs about a millisecond.
	 */
	static final Duration KEEP_ALIVE = Duration.ofSeconds(1);

	/** Longer than the longest deadline, which is watched by whoever sends the order. */
	private static final Duration READ_WRITE_TIMEOUT = Duration.ofSeconds(601);

	/** Every address is an IP number, so no name is ever looked up. */
	private static final InetSocketAddress NO_NAME_SERVER = new InetSocketAddress("127.0.0.1", 53);

	private final HttpClient http;

	private Optional<TcpSocket> socket = Optional.empty();

	private boolean hasWritten;

	private boolean heard;

	private long idleSinceNanos;

	BackendConnection(NioReactor reactor) {
		Watch watch = new Watch();
		// ActiveJ 6.0-rc2 gives plain sockets the observer that is meant for TLS.
		this.http = HttpClient.builder(reactor, DnsClient.create(reactor, NO_NAME_SERVER))
			.withConnectTimeout(CONNECT_TIMEOUT)
			.withKeepAliveTimeout(KEEP_ALIVE)
			.withReadWriteTimeout(READ_WRITE_TIMEOUT)
			.withSocketInspector(watch)
			.withSocketSslInspector(watch)
			.build();
	}

	Promise<HttpResponse> request(HttpRequest request) {
		this.hasWritten = false;
		this.heard = false;
		return this.http.request(request);
	}

	// Whether the latest request certainly did not leave this process. Both must say so:
	// that nothing was written, and that the connection was never made.
	boolean isNotSent(Exception ex) {
		return !this.hasWritten && (failedToConnect(ex) || (ex.getCause() != null && failedToConnect(ex.getCause())));
	}

	// Whether any byte of an answer to the latest request came.
	boolean hasReceived() {
		return this.heard;
	}

	private static boolean failedToConnect(Throwable ex) {
		return ex instanceof ConnectException || ex instanceof AsyncTimeoutException;
	}

	// Whether it can be used again. The library looks for connections that rested too
	// long once a second only; a server may have closed one by then.
	boolean isUsable(long nowNanos) {
		return isOpen() && idleNanos(nowNanos) < KEEP_ALIVE.toNanos();
	}

	boolean isOpen() {
		return this.socket.filter((opened) -> !opened.isClosed()).isPresent();
	}

	void onIdle(long nowNanos) {
		this.idleSinceNanos = nowNanos;
	}

	long idleNanos(long nowNanos) {
		return nowNanos - this.idleSinceNanos;
	}

	void close() {
		this.socket.ifPresent((opened) -> opened.closeEx(new AsyncCloseException("given up")));
		this.socket = Optional.empty();
	}

	private final class Watch extends SocketEvents {

		@Override
		public void onConnect(TcpSocket opened) {
			BackendConnection.this.socket = Optional.of(opened);
		}

		@Override
		public void onRead(TcpSocket opened, ByteBuf buf) {
			BackendConnection.this.heard = true;
		}

		@Override
		public void onWrite(TcpSocket opened, ByteBuf buf, int bytes) {
			BackendConnection.this.hasWritten = true;
		}

	}

}
