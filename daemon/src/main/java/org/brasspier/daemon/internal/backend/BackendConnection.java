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
 * A connection to the backend server that carries one request at a time. A pooling HTTP
 * client can't tell which of its connections has gone silent, nor close just that one, so
 * each connection has an HTTP client of its own. Not thread-safe; confined to the request
 * thread.
 */
final class BackendConnection {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

	/**
	 * A connection that is idle for longer is closed: one that went silent meanwhile
	 * would cost the next request its deadline, a new one costs about a millisecond.
	 */
	static final Duration KEEP_ALIVE = Duration.ofSeconds(1);

	/** Longer than the longest deadline, which the sender of the request enforces. */
	private static final Duration READ_WRITE_TIMEOUT = Duration.ofSeconds(601);

	/** A placeholder: every address is an IP number, so no name is ever resolved. */
	private static final InetSocketAddress NO_NAME_SERVER = new InetSocketAddress("127.0.0.1", 53);

	private final HttpClient http;

	private Optional<TcpSocket> socket = Optional.empty();

	private boolean hasWritten;

	private boolean heard;

	private long idleSinceNanos;

	BackendConnection(NioReactor reactor) {
		Watch watch = new Watch();
		// ActiveJ 6.0-rc2 passes the inspector meant for TLS sockets to plain ones.
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

	// Whether the latest request certainly did not leave this process. Two conditions
	// must hold: nothing was written, and the connection was never established.
	boolean isNotSent(Exception ex) {
		return !this.hasWritten && (failedToConnect(ex) || (ex.getCause() != null && failedToConnect(ex.getCause())));
	}

	// Whether any byte of the answer to the latest request was received.
	boolean hasReceived() {
		return this.heard;
	}

	private static boolean failedToConnect(Throwable ex) {
		return ex instanceof ConnectException || ex instanceof AsyncTimeoutException;
	}

	// Whether the connection can be reused. ActiveJ checks for connections that were
	// idle too long only once a second; the server may have closed one by then.
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
