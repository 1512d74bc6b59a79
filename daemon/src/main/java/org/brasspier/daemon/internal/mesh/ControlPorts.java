package org.brasspier.daemon.internal.mesh;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.keys.GrantAnswer;
import org.brasspier.daemon.internal.loop.WholeBody;
import org.brasspier.daemon.mesh.BackendMessage;
import org.brasspier.daemon.mesh.HeartbeatProtocol;
import org.brasspier.daemon.mesh.MeshSettings;

/**
 * HTTP ports for the platform's readiness check, the backend server's heartbeats, and
 * metrics. Not thread-safe: confined to the request thread.
 */
final class ControlPorts {

	private static final int MAX_HEARTBEAT_BYTES = 64 << 10;

	private static final int UNAVAILABLE = 503;

	private final NioReactor reactor;

	private final MeshLog log;

	private final List<HttpServer> servers = new ArrayList<>();

	ControlPorts(NioReactor reactor, MeshLog log) {
		this.reactor = reactor;
		this.log = log;
	}

	void readiness(InetSocketAddress address, String path, BooleanSupplier ready) throws IOException {
		listen(address, (request) -> {
			if (!request.getPath().equals(path)) {
				return HttpResponse.notFound404().toPromise();
			}
			return HttpResponse.ofCode(ready.getAsBoolean() ? 200 : UNAVAILABLE).toPromise();
		});
	}

	void metrics(MeshSettings.ListenAddresses listen, java.util.function.Supplier<String> text) throws IOException {
		if (listen.metrics().isPresent()) {
			listen(listen.metrics().get(), (request) -> HttpResponse.ok200().withPlainText(text.get()).toPromise());
		}
	}

	void heartbeats(InetSocketAddress address, HeartbeatProtocol protocol, BackendRegistration registration)
			throws IOException {
		listen(address,
				(request) -> WholeBody.read(request, MAX_HEARTBEAT_BYTES)
					.then((body) -> heartbeat(request, body, protocol, registration),
							(ex) -> refuse(Failure.of(ErrorKind.BAD_REQUEST, String.valueOf(ex.getMessage())))));
	}

	private Promise<HttpResponse> heartbeat(HttpRequest request, byte[] body, HeartbeatProtocol protocol,
			BackendRegistration registration) {
		Either<Failure, BackendMessage> message = protocol.message(request.getMethod().name(), request.getPath(), body);
		if (message.isLeft()) {
			return refuse(message.getLeft());
		}
		Either<Failure, Optional<GrantAnswer>> taken = registration.receive(message.get());
		if (taken.isLeft()) {
			return refuse(taken.getLeft());
		}
		return HttpResponse.ok200()
			.withJson(new String(protocol.acknowledgement(taken.get()), java.nio.charset.StandardCharsets.UTF_8))
			.toPromise();
	}

	private Promise<HttpResponse> refuse(Failure failure) {
		this.log.record(MeshEvent.BACKEND_MESSAGE_IGNORED, "reason", failure.detail());
		return HttpResponse.ofCode(failure.kind().status()).withPlainText(failure.detail()).toPromise();
	}

	private void listen(InetSocketAddress address, AsyncServlet servlet) throws IOException {
		HttpServer server = HttpServer.builder(this.reactor, servlet).withListenAddress(address).build();
		server.listen();
		this.servers.add(server);
	}

	void close() {
		this.servers.forEach(HttpServer::close);
	}

}
