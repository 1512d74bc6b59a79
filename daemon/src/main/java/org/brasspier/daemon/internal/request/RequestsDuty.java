package org.brasspier.daemon.internal.request;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.Supplier;

import io.activej.dns.DnsClient;
import io.activej.http.HttpClient;
import io.activej.http.HttpServer;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.routing.OwnershipSnapshot;
import org.brasspier.daemon.internal.DaemonContext;
import org.brasspier.daemon.internal.backend.BackendClient;
import org.brasspier.daemon.internal.backend.BackendPort;
import org.brasspier.daemon.internal.caller.CallerPort;
import org.brasspier.daemon.internal.loop.Duty;
import org.brasspier.daemon.internal.settings.Settings;

/**
 * The duty that serves callers, other daemons' requests and the backend server. Starting
 * and stopping is thread-safe.
 */
public final class RequestsDuty {

	private static final Duration KEEP_ALIVE = Duration.ofSeconds(30);

	/** Every address is an IP number, so no name is ever looked up. */
	private static final InetSocketAddress NO_NAME_SERVER = new InetSocketAddress("127.0.0.1", 53);

	private final Duty duty = new Duty("requests");

	private final DaemonContext context;

	private final Supplier<OwnershipSnapshot> ownership;

	/**
	 * Creates the duty; it does nothing until it is started.
	 * @param context what every duty needs
	 * @param ownership what this instance holds and knows now
	 */
	public RequestsDuty(DaemonContext context, Supplier<OwnershipSnapshot> ownership) {
		this.context = context;
		this.ownership = ownership;
	}

	/**
	 * Opens the ports for callers, other daemons and the backend server.
	 * @throws IOException if a port can't be opened
	 */
	public void start() throws IOException {
		this.duty.start();
		CompletableFuture<Void> listening = new CompletableFuture<>();
		this.duty.execute(() -> {
			try {
				listen(this.duty.reactor());
				listening.complete(null);
			}
			catch (IOException ex) {
				listening.completeExceptionally(ex);
			}
		});
		try {
			listening.get();
		}
		catch (ExecutionException ex) {
			throw new IOException("a port can't be opened", ex.getCause());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new UncheckedIOException(new IOException("interrupted while opening ports", ex));
		}
	}

	private void listen(NioReactor reactor) throws IOException {
		Settings settings = this.context.settings();
		HttpClient http = HttpClient.builder(reactor, DnsClient.create(reactor, NO_NAME_SERVER))
			.withKeepAliveTimeout(KEEP_ALIVE)
			.build();
		BackendClient backend = new BackendClient(http);
		LocalGate gate = new LocalGate(this.ownership, backend, this.context.events());
		ForwardClient forwards = new ForwardClient(reactor, settings.instance(), settings.secrets().sharedKeys(),
				this.context.events());
		RequestRouter router = new RequestRouter(this.ownership, gate, forwards, this.context.events());
		HttpServer.builder(reactor, new CallerPort(router, settings.limits().maxBodyBytes()))
			.withListenAddress(settings.listen().callers())
			.build()
			.listen();
		HttpServer.builder(reactor, new BackendPort(backend, this.context.events()))
			.withListenAddress(settings.listen().backend())
			.build()
			.listen();
		new ForwardServer(settings.instance(), settings.secrets().sharedKeys(), gate, this.context.events())
			.listenOn(reactor, settings.listen().forwards())
			.listen();
	}

	/**
	 * Ends the duty.
	 * @throws InterruptedException if the calling thread is interrupted
	 */
	public void stop() throws InterruptedException {
		this.duty.stop();
	}

}
