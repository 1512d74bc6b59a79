package org.brasspier.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import com.beust.jcommander.JCommander;
import io.activej.dns.DnsClient;
import io.activej.http.HttpClient;
import io.activej.http.HttpServer;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.event.EventKind;
import org.brasspier.core.routing.OwnershipSnapshot;
import org.brasspier.core.routing.PeerAddress;
import org.brasspier.daemon.internal.backend.BackendClient;
import org.brasspier.daemon.internal.backend.BackendPort;
import org.brasspier.daemon.internal.caller.CallerPort;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.loop.Duty;
import org.brasspier.daemon.internal.ownership.StaticOwnership;
import org.brasspier.daemon.internal.request.ForwardClient;
import org.brasspier.daemon.internal.request.ForwardServer;
import org.brasspier.daemon.internal.request.LocalGate;
import org.brasspier.daemon.internal.request.RequestRouter;
import org.brasspier.daemon.internal.settings.Settings;
import org.brasspier.wire.SharedKeys;

/**
 * The program {@code brasspierd}.
 */
public final class Main {

	private static final int MAX_BODY_BYTES = 1 << 20;

	private Main() {
	}

	/**
	 * Runs a daemon until the process is told to end.
	 * @param arguments the flags
	 * @throws Exception if the daemon can't start
	 */
	public static void main(String[] arguments) throws Exception {
		Settings settings = new Settings();
		JCommander.newBuilder().addObject(settings).programName("brasspierd").build().parse(arguments);
		Duty requests = new Duty("requests");
		requests.start();
		requests.execute(() -> assemble(settings, requests.reactor()));
		new CountDownLatch(1).await();
	}

	private static void assemble(Settings settings, NioReactor reactor) {
		InstanceId self = new InstanceId(settings.instance);
		SharedKeys keys = new SharedKeys(List.of(System.getenv("BRASSPIER_SHARED_KEYS").split(",")));
		EventLog events = new EventLog(4096);
		HttpClient http = HttpClient.builder(reactor, DnsClient.create(reactor, new InetSocketAddress("127.0.0.1", 53)))
			.withKeepAliveTimeout(Duration.ofSeconds(30))
			.build();
		BackendClient backend = new BackendClient(http);
		OwnershipSnapshot snapshot = StaticOwnership.snapshot(self,
				settings.members.stream().map(Main::member).toList());
		LocalGate gate = new LocalGate(() -> snapshot, backend, events);
		ForwardClient forwards = new ForwardClient(reactor, self, keys, events);
		RequestRouter router = new RequestRouter(() -> snapshot, gate, forwards, events);
		try {
			HttpServer.builder(reactor, new CallerPort(router, MAX_BODY_BYTES))
				.withListenAddress(address(settings.callerListen))
				.build()
				.listen();
			HttpServer.builder(reactor, new BackendPort(backend, events))
				.withListenAddress(address(settings.backendListen))
				.build()
				.listen();
			new ForwardServer(self, keys, gate, events).listenOn(reactor, address(settings.forwardListen)).listen();
			events.record(EventKind.DAEMON_STARTED, self, settings.callerListen);
		}
		catch (java.io.IOException ex) {
			throw new java.io.UncheckedIOException(ex);
		}
	}

	private static StaticOwnership.Member member(String text) {
		String id = text.substring(0, text.indexOf('='));
		String service = text.substring(text.indexOf('=') + 1, text.indexOf('@'));
		InetSocketAddress address = address(text.substring(text.indexOf('@') + 1));
		return new StaticOwnership.Member(new InstanceId(id), new ServiceName(service),
				new PeerAddress(address.getHostString(), 1, address.getPort(), 1));
	}

	private static InetSocketAddress address(String text) {
		int colon = text.lastIndexOf(':');
		return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

}
