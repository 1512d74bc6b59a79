package org.brasspier.daemon.internal.operator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;

import io.activej.dns.DnsClient;
import io.activej.http.HttpClient;
import io.activej.http.HttpServer;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.InstanceId;
import org.brasspier.core.routing.OwnershipSnapshot;
import org.brasspier.daemon.internal.DaemonContext;
import org.brasspier.daemon.internal.document.DocumentService;
import org.brasspier.daemon.internal.loop.Duty;
import org.brasspier.daemon.internal.loop.Ring;
import org.brasspier.daemon.internal.measure.MeasureRecorder;
import org.brasspier.daemon.internal.ownership.CellView;
import org.brasspier.daemon.internal.ownership.DocumentVersions;
import org.brasspier.daemon.internal.ownership.OwnershipOrders;
import org.brasspier.daemon.internal.platform.HttpPlatform;
import org.brasspier.daemon.internal.request.GateView;
import org.brasspier.daemon.internal.settings.Settings;

/**
 * The duty that serves operators: their port, the document, the measures. Starting and
 * stopping is thread-safe.
 */
public final class OperatorsDuty implements DocumentVersions {

	/** Every address is an IP number, so no name is ever looked up. */
	private static final InetSocketAddress NO_NAME_SERVER = new InetSocketAddress("127.0.0.1", 53);

	/** A slow store takes 2 s an answer. */
	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration TICK = Duration.ofMillis(200);

	private static final Duration SLOW_TICK = Duration.ofSeconds(1);

	/** A heartbeat from each member of a cell, some times over. */
	private static final int SEEN = 128;

	private final Duty duty = new Duty("operators");

	private final Ring<SeenVersion> seen = new Ring<>(SEEN, this.duty, this::take);

	private final DaemonContext context;

	private final Supplier<OwnershipSnapshot> ownership;

	private final Supplier<CellView> cell;

	private final Supplier<GateView> gate;

	private final OwnershipOrders orders;

	private Optional<DocumentService> documents = Optional.empty();

	/**
	 * Creates the duty; it does nothing until it is started.
	 * @param context what every duty needs
	 * @param ownership what this instance holds and knows now
	 * @param cell what this daemon knows of its cell now
	 * @param gate what runs and waits at the gate to the backend server now
	 * @param orders who carries out orders about ownership
	 */
	public OperatorsDuty(DaemonContext context, Supplier<OwnershipSnapshot> ownership, Supplier<CellView> cell,
			Supplier<GateView> gate, OwnershipOrders orders) {
		this.context = context;
		this.ownership = ownership;
		this.cell = cell;
		this.gate = gate;
		this.orders = orders;
	}

	/**
	 * Opens the port for operators and begins to follow the document.
	 * @throws IOException if the port can't be opened
	 */
	public void start() throws IOException {
		this.duty.start(() -> listen(this.duty.reactor()));
	}

	private void listen(NioReactor reactor) throws IOException {
		Settings settings = this.context.settings();
		HttpClient http = HttpClient.builder(reactor, DnsClient.create(reactor, NO_NAME_SERVER))
			.withKeepAliveTimeout(Duration.ofSeconds(30))
			.withConnectTimeout(CONNECT_TIMEOUT)
			.withReadWriteTimeout(CALL_TIMEOUT)
			.build();
		HttpPlatform platform = new HttpPlatform(http, settings.platform().table(), settings.platform().objectStore(),
				this.context.secrets());
		PeerClient peers = new PeerClient(http, this.context, this.cell);
		DocumentService service = new DocumentService(platform, platform, this.context.documents(), peers,
				this.context.events(), this::managing);
		MeasureRecorder keeper = new MeasureRecorder(platform, settings.cell(), peers, this.context.events(),
				System::currentTimeMillis);
		OperatorSecrets secrets = new OperatorSecrets(settings.secrets().operatorSecrets(),
				() -> this.context.documents().inForce().document().acceptedSecrets());
		OperatorPort.Calls calls = new OperatorPort.Calls(
				new DocumentCalls(this.context.documents(), service, this.context.events()),
				new CellCalls(this.context, this.ownership, this.cell, this.gate),
				new OrderCalls(this.orders, this.context.events()),
				new EventCalls(settings.instance(), this.context.events()), new MeasureCalls(this.context, keeper),
				new MetricsText(this.context.metrics()), new PeerCalls(this.context));
		HttpServer.builder(reactor, OperatorPort.create(reactor, calls, secrets, this.context.events()))
			.withListenAddress(settings.listen().operators())
			.build()
			.listen();
		this.documents = Optional.of(service);
		this.context.metrics().registerAll(new DaemonGauges(this.context, this.ownership, this.cell, this.gate));
		repeat(reactor, TICK, service::tick);
		repeat(reactor, SLOW_TICK, () -> keeper.tick(this.cell.get(), primary()));
		Settings.SecretFiles files = settings.secrets().files();
		follow(files.operatorSecrets(), "operators", secrets::replace);
		follow(files.sharedKeys(), "peers", this.context.secrets()::replaceSharedKeys);
		follow(files.platformTokens(), "platform", this.context.secrets()::replacePlatformTokens);
	}

	private void follow(Optional<Path> file, String whose, Predicate<List<String>> replace) {
		file.map((path) -> new SecretsFile(path, whose, replace, this.context.events()))
			.ifPresent((reader) -> repeat(this.duty.reactor(), SLOW_TICK, reader::readAnew));
	}

	private static void repeat(NioReactor reactor, Duration period, Runnable task) {
		task.run();
		reactor.delayBackground(period, () -> repeat(reactor, period, task));
	}

	private boolean primary() {
		return self(this.cell.get().primary());
	}

	private boolean managing() {
		return primary() || self(this.cell.get().secondary());
	}

	private boolean self(Optional<InstanceId> instance) {
		return instance.filter((name) -> name.equals(this.context.settings().instance())).isPresent();
	}

	@Override
	public long current() {
		return this.context.documents().inForce().version();
	}

	@Override
	public void onPeerVersion(InstanceId peer, long version) {
		// A full ring loses nothing: the next heartbeat tells the version again.
		boolean taken = this.seen.offer(new SeenVersion(peer, version));
		if (!taken) {
			this.context.metrics().counter("document_versions_skipped").inc();
		}
	}

	private void take(SeenVersion version) {
		this.documents.ifPresent((service) -> service.onPeerVersion(version.peer(), version.version()));
	}

	/**
	 * Ends the duty.
	 * @throws InterruptedException if the calling thread is interrupted
	 */
	public void stop() throws InterruptedException {
		this.duty.stop();
	}

	/**
	 * A version that a heartbeat told.
	 *
	 * @param peer whose version it is
	 * @param version the version
	 */
	private record SeenVersion(InstanceId peer, long version) {

	}

}
