package org.brasspier.daemon.internal.mesh;

import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Stream;

import com.codahale.metrics.MetricRegistry;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.mesh.RoutingConfig;
import org.brasspier.core.stop.StopPlan;
import org.brasspier.daemon.internal.coldstart.WarmthChecks;
import org.brasspier.daemon.internal.evacuation.EvacuationRows;
import org.brasspier.daemon.internal.exchange.AnswerRefusal;
import org.brasspier.daemon.internal.exchange.ExchangeFinding;
import org.brasspier.daemon.internal.exchange.ExchangeId;
import org.brasspier.daemon.internal.http.BackendPool;
import org.brasspier.daemon.internal.http.BodyBudget;
import org.brasspier.daemon.internal.http.CallerServer;
import org.brasspier.daemon.internal.http.ServerConnections;
import org.brasspier.daemon.internal.limit.ServerLimits;
import org.brasspier.daemon.internal.limit.ServerNotices;
import org.brasspier.daemon.internal.link.AnswerAdmission;
import org.brasspier.daemon.internal.link.LinkFlow;
import org.brasspier.daemon.internal.operator.MetricsText;
import org.brasspier.daemon.mesh.MeshAdapter;
import org.brasspier.daemon.mesh.MeshSettings;

/**
 * Wires together the parts of a daemon of the mesh. Not thread-safe: confined to the
 * request thread.
 */
public final class MeshNode {

	/**
	 * How long a stopping daemon accepts new connections. The platform checks readiness
	 * once a second and stops sending callers after the second negative answer, so new
	 * callers arrive for up to two seconds.
	 */
	private static final Duration ACCEPT_WHILE_STOPPING = Duration.ofMillis(2500);

	/**
	 * After this time the other daemons know that new requests are rejected, and requests
	 * sent before have been answered: many round trips between failure domains.
	 */
	private static final Duration NOTICE_DELAY = Duration.ofMillis(250);

	private static final Duration IDLE_CHECK_INTERVAL = Duration.ofMillis(20);

	private static final Duration PROCESSOR_TIMES_INTERVAL = Duration.ofSeconds(10);

	/**
	 * Parts of the heap for the bodies of requests and of answers. A body is copied a few
	 * times on its way, so that all of them together fit into the heap beside the rest.
	 */
	private static final int REQUEST_BODIES_DIVISOR = 10;

	private static final int ANSWER_BODIES_DIVISOR = 7;

	/** The largest answer, however large the heap is. */
	private static final long MAX_ANSWER_BYTES = 64 << 20;

	private final NioReactor reactor;

	private final MeshSettings settings;

	private final MeshAdapter adapter;

	private final MeshLog log;

	private final MetricRegistry metrics = new MetricRegistry();

	private final Directory directory;

	private final EvacuationRows evacuations;

	private final ConfigHolder config;

	private final BackendGate gate;

	private final KeyOwnership keys;

	private final BackendCrashes crashes;

	private final ServerNotices notices;

	private final MemberWriter member;

	private final MeshEntry entry;

	private final CallerServer callers;

	private final HopServer hops;

	private final BackendRegistration registration;

	private final StoreFollowing following;

	private final ControlPorts ports;

	private final ProcessorTimes processorTimes = new ProcessorTimes();

	private boolean stopping;

	private long stoppingSinceNanos;

	/**
	 * Creates the parts; no port is opened yet.
	 * @param reactor the reactor of the request thread
	 * @param settings the settings of the daemon
	 * @param adapter the protocols of the platform
	 */
	public MeshNode(NioReactor reactor, MeshSettings settings, MeshAdapter adapter) {
		this.reactor = reactor;
		this.settings = settings;
		this.adapter = adapter;
		this.log = new MeshLog(settings.instance(), this.metrics);
		StoreHealth health = new StoreHealth(this.log, this.metrics);
		this.evacuations = new EvacuationRows(adapter.config());
		this.directory = new Directory(this.evacuations, this.log);
		this.config = new ConfigHolder(adapter.config(), this.log);
		this.registration = new BackendRegistration(settings.backend(), this.log);
		BootClock clock = new BootClock();
		SharedRows shared = new SharedRows(this.config, this.evacuations, this.directory, this.log);
		LinkFlow flow = new LinkFlow(reactor, settings.linkMegabits());
		HopClient hopClient = new HopClient(reactor, shared, flow);
		ServerConnections connections = connectionsToServer();
		this.keys = new KeyOwnership(reactor, settings, this.registration, connections, this.directory, adapter.store(),
				adapter.grants(), hopClient, this.config, clock::nanos, health, this.log);
		this.registration.setGrantSource((heartbeat, now) -> this.keys.grantAnswer(heartbeat));
		LagTimer lag = new LagTimer(reactor);
		long heapBytes = Runtime.getRuntime().maxMemory();
		BodyBudget requestBodies = new BodyBudget(reactor, heapBytes / REQUEST_BODIES_DIVISOR);
		BodyBudget answerBodies = new BodyBudget(reactor,
				Math.min(MAX_ANSWER_BYTES, heapBytes / ANSWER_BODIES_DIVISOR));
		BackendPool pool = new BackendPool(reactor, settings.backend().address(), answerBodies, connections);
		this.crashes = new BackendCrashes(reactor, settings.instance(), this.registration, pool, this.directory,
				hopClient, adapter.store(), health, this.log);
		this.notices = new ServerNotices(new NoticeListener(this.registration, this.log));
		ServerLimits limits = new ServerLimits(this.registration.coldStart(),
				new WarmthChecks(reactor, pool, adapter.backends(), this.registration.coldStart()), this.notices,
				adapter.backends(), settings.bounds().cold());
		AnswerAdmission answers = new AnswerAdmission(flow);
		this.gate = new BackendGate(reactor, settings, this.registration, pool, adapter.backends(), this.config,
				this.evacuations, this.keys, this.crashes, limits, answers, this.log);
		this.registration.addListener(this::restoreLimit);
		this.evacuations.addListener(this::onEvacuationsChanged);
		this.keys.setCapacitySource(this.gate::lookupsPerSecond);
		this.member = new MemberWriter(reactor, settings, this.registration, this.notices.limit(), this.directory,
				adapter.store(), health);
		Dispatcher dispatcher = new Dispatcher(settings, this.directory, this.config, this.gate,
				new HopClient(reactor, shared, flow), this.crashes, this.log);
		this.entry = new MeshEntry(adapter.callers(), this.config, dispatcher, lag, this.log, this.metrics);
		this.callers = new CallerServer(reactor, settings.listen().callers(), this.entry,
				() -> this.config.get().limits(), requestBodies);
		this.following = new StoreFollowing(reactor, settings, adapter, this.config, this.evacuations, this.directory,
				hopClient, shared, health, this.log);
		this.hops = new HopServer(reactor, settings.listen().peers(), this.gate, this.keys, shared,
				this.following.followers(), this.crashes, flow, this.log);
		new MeshGauges(this.metrics).gate(this.gate, this.registration)
			.choosing(dispatcher)
			.keys(this.keys)
			.configAndDirectory(this.config, this.directory)
			.evacuation(this.evacuations, settings.failureDomain())
			.coldStart(this.registration)
			.limits(this.notices, this.registration)
			.exchanges(connections.exchanges())
			.link(flow, answers)
			.bodies(requestBodies, answerBodies)
			.process(lag);
		this.ports = new ControlPorts(reactor, this.log);
		this.directory.addRowsListener(this::applyOwnRow);
	}

	private ServerConnections connectionsToServer() {
		ServerConnections connections = new ServerConnections();
		connections
			.onSessionStarted(() -> this.log.record(MeshEvent.BACKEND_CONNECTED, "session", connections.session(),
					"life", this.registration.incarnation().map(String::valueOf).orElse(""), "heartbeat_ms_ago",
					Duration.ofNanos(this.registration.nanosSinceHeartbeat(System.nanoTime())).toMillis()));
		this.registration.onServerReplaced(connections::endSession);
		connections.exchanges().setListener(this::logFinding);
		return connections;
	}

	private void logFinding(ExchangeFinding finding) {
		switch (finding) {
			case ExchangeFinding.AnswerSkipped(ExchangeId ignored, int status, String answered, String start) ->
				logFinding(MeshEvent.ANSWER_SKIPPED, finding, "status", status, "answered", answered, "start", start);
			case ExchangeFinding.AnswerRefused(ExchangeId ignored, int status, AnswerRefusal reason, String start) ->
				logFinding(MeshEvent.ANSWER_REFUSED, finding, "status", status, "reason", reason, "start", start);
			case ExchangeFinding.InterimAnswer(ExchangeId ignored, int status, String start) ->
				logFinding(MeshEvent.INTERIM_ANSWER, finding, "status", status, "start", start);
			case ExchangeFinding.LaterAnswerTaken(ExchangeId ignored, int status, int passedOver) ->
				logFinding(MeshEvent.LATER_ANSWER_TAKEN, finding, "status", status, "passed_over", passedOver);
			case ExchangeFinding.BytesBehindAnswer(ExchangeId ignored, int bytes) ->
				logFinding(MeshEvent.BYTES_BEHIND_ANSWER, finding, "bytes", bytes);
			case ExchangeFinding.IdRepeated(ExchangeId ignored, String request) ->
				logFinding(MeshEvent.REQUEST_ID_REPEATED, finding, "repeated", request);
		}
	}

	private void logFinding(MeshEvent event, ExchangeFinding finding, Object... fields) {
		ExchangeId exchange = finding.exchange();
		Object[] common = { "request", exchange.request(), "life",
				this.registration.incarnation().map(String::valueOf).orElse(""), "connection", exchange.connection(),
				"exchange", exchange.number() };
		this.log.record(event, Stream.concat(Arrays.stream(common), Arrays.stream(fields)).toArray());
	}

	private void onEvacuationsChanged() {
		this.log.record(MeshEvent.EVACUATION_CHANGED, "evacuated", this.evacuations.evacuated(), "own",
				this.evacuations.isEvacuated(this.settings.failureDomain()), "version",
				this.evacuations.latestChange());
		this.keys.onEvacuationsChanged();
	}

	// A departure that an earlier process of this instance acknowledged is binding for
	// this one as well.
	private void applyOwnRow() {
		this.directory.member(this.settings.instance())
			.filter((member) -> !member.ready())
			.flatMap(Member::incarnation)
			.ifPresent(this.registration::restoreDeparture);
		restoreLimit();
	}

	// An earlier process of this instance may have known a limit of the same server.
	private void restoreLimit() {
		this.directory.member(this.settings.instance())
			.filter((member) -> member.incarnation().isPresent()
					&& member.incarnation().equals(this.registration.incarnation()))
			.ifPresent((member) -> member.perSecond().ifPresent(this.notices::restore));
	}

	/**
	 * Opens all ports and starts to follow the store.
	 * @throws IOException if a port can't be opened
	 */
	public void start() throws IOException {
		this.ports.heartbeats(this.settings.listen().backend(), this.adapter.heartbeats(), this.registration);
		this.ports.readiness(this.settings.listen().readiness(), this.adapter.readinessPath(), this::ready);
		this.ports.metrics(this.settings.listen(), new MetricsText(this.metrics)::text);
		this.hops.listen();
		this.callers.listen();
		this.following.start();
		this.member.start();
		this.crashes.start();
		this.keys.start();
		this.log.record(MeshEvent.STARTED, "service", this.settings.backend().service(), "failure_domain",
				this.settings.failureDomain());
		scheduleProcessorTimes();
	}

	private void scheduleProcessorTimes() {
		this.reactor.delay(PROCESSOR_TIMES_INTERVAL, () -> {
			scheduleProcessorTimes();
			recordProcessorTimes();
		});
	}

	private void recordProcessorTimes() {
		this.log.record(MeshEvent.PROCESSOR_TIMES,
				this.processorTimes.read()
					.entrySet()
					.stream()
					.flatMap((time) -> Stream.of(time.getKey().name().toLowerCase(Locale.ROOT) + "_ms",
							time.getValue().toMillis()))
					.toArray());
	}

	private boolean ready() {
		RoutingConfig inForce = this.config.get();
		return !this.stopping && inForce.isKnown() && this.directory.isLoaded();
	}

	/**
	 * Logs that the settings were reloaded.
	 * @param outcome the result
	 */
	public void onSettingsReloaded(String outcome) {
		this.log.record(MeshEvent.RELOADED, "outcome", outcome);
	}

	/**
	 * Stops gracefully: sends callers and other daemons elsewhere, serves the requests
	 * that still arrive or are in flight, at most for the stop timeout, and closes all
	 * ports.
	 * @param onStopped called once no request is in flight, or the stop timeout is over,
	 * and all ports are closed
	 */
	public void stop(Runnable onStopped) {
		this.stopping = true;
		this.stoppingSinceNanos = System.nanoTime();
		this.log.record(MeshEvent.STOPPING, "open", this.entry.openRequests(), "gate", this.gate.load());
		this.entry
			.stop(new StopPlan(this.stoppingSinceNanos, ACCEPT_WHILE_STOPPING, this.settings.bounds().stopTimeout()));
		this.callers.leave();
		this.hops.leave();
		this.reactor.delay(ACCEPT_WHILE_STOPPING, () -> {
			this.callers.refuseNew();
			this.gate.stop();
			this.hops.stop();
			// Connections that were accepted last are polled before they count as idle.
			this.reactor.delay(IDLE_CHECK_INTERVAL, () -> finishWhenIdle(onStopped));
		});
	}

	private void finishWhenIdle(Runnable onStopped) {
		boolean closed = this.callers.closeIdle();
		boolean othersKnow = System.nanoTime() - this.stoppingSinceNanos >= ACCEPT_WHILE_STOPPING.plus(NOTICE_DELAY)
			.toNanos();
		long leftNanos = this.settings.bounds().stopTimeout().toNanos() - (System.nanoTime() - this.stoppingSinceNanos);
		if (closed && othersKnow && this.gate.idle() && !this.hops.hasUnsentData() || leftNanos <= 0) {
			recordProcessorTimes();
			this.log.record(MeshEvent.STOPPED, "open", this.entry.openRequests(), "gate", this.gate.load(),
					"connections", this.callers.openConnections(), "taken_ms_ago",
					this.callers.sinceLastRequest().toMillis());
			this.ports.close();
			this.hops.close();
			// A listening port stays open until the event loop has polled once more. If
			// the callback ran sooner, a daemon started in place of this one would find
			// the port in use.
			this.reactor.delay(IDLE_CHECK_INTERVAL, onStopped::run);
			return;
		}
		this.reactor.delay(IDLE_CHECK_INTERVAL, () -> finishWhenIdle(onStopped));
	}

}
