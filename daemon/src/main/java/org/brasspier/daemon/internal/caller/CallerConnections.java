package org.brasspier.daemon.internal.caller;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.activej.common.inspector.AbstractInspector;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.HttpServerConnection;
import io.activej.http.MalformedHttpException;
import io.activej.net.socket.tcp.TcpSocket;
import org.brasspier.core.event.EventKind;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.loop.SocketEvents;
import org.brasspier.daemon.internal.request.Cancellation;

/**
 * Cancels a request when its caller disconnects while it is served. The HTTP server
 * reports a disconnect only after the answer was written, but the socket sees the end of
 * the stream at once. The inspector is notified of each socket just before the connection
 * on it, so the two are matched by order. Not thread-safe; confined to the request
 * thread.
 */
final class CallerConnections extends AbstractInspector<HttpServer.Inspector> implements HttpServer.Inspector {

	private final Map<TcpSocket, HttpServerConnection> connections = new HashMap<>();

	private final Map<HttpServerConnection, Cancellation> running = new HashMap<>();

	private final EventLog events;

	private final Counter malformed;

	private Optional<TcpSocket> latest = Optional.empty();

	CallerConnections(EventLog events, MetricRegistry metrics) {
		this.events = events;
		this.malformed = metrics.counter("callers.malformed");
	}

	SocketEvents sockets() {
		return new Sockets();
	}

	Cancellation begin(HttpServerConnection connection) {
		Cancellation cancellation = new Cancellation();
		this.running.put(connection, cancellation);
		return cancellation;
	}

	void end(HttpServerConnection connection) {
		this.running.remove(connection);
	}

	@Override
	public void onAccept(HttpServerConnection connection) {
		this.latest.ifPresent((socket) -> this.connections.put(socket, connection));
		this.latest = Optional.empty();
	}

	@Override
	public void onHttpRequest(HttpRequest request) {
		// The servlet handles requests.
	}

	@Override
	public void onHttpResponse(HttpRequest request, HttpResponse response) {
		// The servlet handles responses.
	}

	@Override
	public void onHttpResponseComplete(HttpServerConnection connection) {
		// Not needed.
	}

	@Override
	public void onServletException(HttpRequest request, Exception ex) {
		this.events.record(EventKind.BAD_CALLER_INPUT, "caller port", "a request failed: " + ex);
	}

	@Override
	public void onHttpError(HttpServerConnection connection, Exception ex) {
		cancel(connection);
	}

	@Override
	public void onMalformedHttpRequest(HttpServerConnection connection, MalformedHttpException ex, byte[] received) {
		this.malformed.inc();
		this.events.record(EventKind.BAD_CALLER_INPUT, "caller port", "not HTTP: " + ex.getMessage());
	}

	@Override
	public void onDisconnect(HttpServerConnection connection) {
		cancel(connection);
	}

	private void cancel(HttpServerConnection connection) {
		Optional.ofNullable(this.running.remove(connection)).ifPresent(Cancellation::cancel);
	}

	private final class Sockets extends SocketEvents {

		@Override
		public void onConnect(TcpSocket socket) {
			CallerConnections.this.latest = Optional.of(socket);
		}

		@Override
		public void onReadEndOfStream(TcpSocket socket) {
			onStreamEnd(socket);
		}

		@Override
		public void onReadError(TcpSocket socket, IOException ex) {
			onStreamEnd(socket);
		}

		@Override
		public void onDisconnect(TcpSocket socket) {
			onStreamEnd(socket);
			CallerConnections.this.connections.remove(socket);
		}

		private void onStreamEnd(TcpSocket socket) {
			Optional.ofNullable(CallerConnections.this.connections.get(socket))
				.ifPresent(CallerConnections.this::cancel);
		}

	}

}
