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
 * The duty that serves operators: the operator port, the configuration document and the
 * measures. Starting and stopping is thread-safe.
 */
public final class OperatorsDuty implements DocumentVersions {

	/** Never queried, since all addresses are IP addresses. */
	private static final InetSocketAddress NO_NAME_SERVER = new InetSocketAddress("127.0.0.1", 53);

	/** A slow store takes 2 s for a response. */
	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration TICK_PERIOD = Duration.ofMillis(200);

	private static final Duration SLOW_TICK_PERIOD = Duration.ofSeconds(1);

	/** Holds several heartbeats from each member of a cell. */
	private static final int MAX_QUEUED_VERSIONS = 128;

	private final Duty duty = new Duty("operators");

	private final Ring<PeerVersion> peerVersions = new Ring<>(MAX_QUEUED_VERSIONS, this.duty, this::deliver);

	private final DaemonContext context;

	private final Supplier<OwnershipSnapshot> ownershipSnapshot;

	private final Supplier<CellView> cellView;

	private final Supplier<GateView> gateView;

	private final OwnershipOrders orders;

	private Optional<DocumentService> documentService = Optional.empty();

	/**
	 * Creates the duty; it does nothing until it is started.
	 * @param context the shared objects of all duties
	 * @param ownershipSnapshot supplies the current ranges, routes and lease
	 * @param cellView supplies the current state of the cell
	 * @param gateView supplies the current load of the gate to the backend server
	 * @param orders executes the operators' orders about ownership
	 */
	public OperatorsDuty(DaemonContext context, Supplier<OwnershipSnapshot> ownershipSnapshot,
			Supplier<CellView> cellView, Supplier<GateView> gateView, OwnershipOrders orders) {
		this.context = context;
		this.ownershipSnapshot = ownershipSnapshot;
		this.cellView = cellView;
		this.gateView = gateView;
		this.orders = orders;
	}

	/**
	 * Opens the operator port and starts to follow the configuration document.
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
		PeerClient peers = new PeerClient(http, this.context, this.cellView);
		DocumentService service = new DocumentService(platform, platform, this.context.documents(), peers,
				this.context.events(), this::isManager);
		MeasureRecorder recorder = new MeasureRecorder(platform, settings.cell(), peers, this.context.events(),
				System::currentTimeMillis);
		OperatorSecrets secrets = new OperatorSecrets(settings.secrets().operatorSecrets(),
				() -> this.context.documents().inForce().document().acceptedSecrets());
		OperatorPort.Handlers handlers = new OperatorPort.Handlers(
				new DocumentRequestHandler(this.context.documents(), service, this.context.events()),
				new CellRequestHandler(this.context, this.ownershipSnapshot, this.cellView, this.gateView),
				new OrderRequestHandler(this.orders, this.context.events()),
				new EventRequestHandler(settings.instance(), this.context.events()),
				new MeasureRequestHandler(this.context, recorder), new MetricsText(this.context.metrics()),
				new PeerRequestHandler(this.context));
		HttpServer.builder(reactor, OperatorPort.create(reactor, handlers, secrets, this.context.events()))
			.withListenAddress(settings.listen().operators())
			.build()
			.listen();
		this.documentService = Optional.of(service);
		this.context.metrics()
			.registerAll(new DaemonGauges(this.context, this.ownershipSnapshot, this.cellView, this.gateView));
		runPeriodically(reactor, TICK_PERIOD, service::tick);
		runPeriodically(reactor, SLOW_TICK_PERIOD, () -> recorder.tick(this.cellView.get(), isPrimaryManager()));
		Settings.SecretFiles files = settings.secrets().files();
		watchSecretsFile(files.operatorSecrets(), "operators", secrets::replace);
		watchSecretsFile(files.sharedKeys(), "peers", this.context.secrets()::replaceSharedKeys);
		watchSecretsFile(files.platformTokens(), "platform", this.context.secrets()::replacePlatformTokens);
	}

	private void watchSecretsFile(Optional<Path> file, String subject, Predicate<List<String>> replace) {
		file.map((path) -> new SecretsFileReader(path, subject, replace, this.context.events()))
			.ifPresent((reader) -> runPeriodically(this.duty.reactor(), SLOW_TICK_PERIOD, reader::readIfChanged));
	}

	private static void runPeriodically(NioReactor reactor, Duration period, Runnable task) {
		task.run();
		reactor.delayBackground(period, () -> runPeriodically(reactor, period, task));
	}

	private boolean isPrimaryManager() {
		return isSelf(this.cellView.get().primary());
	}

	private boolean isManager() {
		return isPrimaryManager() || isSelf(this.cellView.get().secondary());
	}

	private boolean isSelf(Optional<InstanceId> instance) {
		return instance.filter((name) -> name.equals(this.context.settings().instance())).isPresent();
	}

	@Override
	public long current() {
		return this.context.documents().inForce().version();
	}

	@Override
	public void onPeerVersion(InstanceId peer, long version) {
		// Dropping a version is harmless: the next heartbeat reports it again.
		boolean queued = this.peerVersions.offer(new PeerVersion(peer, version));
		if (!queued) {
			this.context.metrics().counter("document_versions_skipped").inc();
		}
	}

	private void deliver(PeerVersion reported) {
		this.documentService.ifPresent((service) -> service.onPeerVersion(reported.peer(), reported.version()));
	}

	/**
	 * Stops the duty.
	 * @throws InterruptedException if the calling thread is interrupted
	 */
	public void stop() throws InterruptedException {
		this.duty.stop();
	}

	/**
	 * The document version that a peer reported in a heartbeat.
	 *
	 * @param peer the peer
	 * @param version the version in force there
	 */
	private record PeerVersion(InstanceId peer, long version) {

	}

}
