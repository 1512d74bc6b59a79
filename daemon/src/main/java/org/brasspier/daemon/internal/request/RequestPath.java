package org.brasspier.daemon.internal.request;

import java.io.IOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.SplittableRandom;

import io.activej.http.HttpServer;
import io.activej.net.SimpleServer;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.choosing.BackendChooser;
import org.brasspier.core.request.CrashHistory;
import org.brasspier.core.request.LedgerLimits;
import org.brasspier.core.request.RequestLedger;
import org.brasspier.core.retry.RecentLatencies;
import org.brasspier.core.retry.RetryBudget;
import org.brasspier.core.retry.RetryPolicy;
import org.brasspier.daemon.internal.DaemonContext;
import org.brasspier.daemon.internal.backend.BackendCalls;
import org.brasspier.daemon.internal.backend.BackendClient;
import org.brasspier.daemon.internal.backend.BackendPort;
import org.brasspier.daemon.internal.backend.BackendWatch;
import org.brasspier.daemon.internal.backend.GrantRenewal;
import org.brasspier.daemon.internal.caller.CallerListener;
import org.brasspier.daemon.internal.caller.CallerPort;
import org.brasspier.daemon.internal.measure.OutcomeMeter;
import org.brasspier.daemon.internal.ownership.RequestsOrder;
import org.brasspier.daemon.internal.ownership.RequestsReport.BackendState;
import org.brasspier.daemon.internal.settings.Settings;

/**
 * Creates and connects the components that process requests. Not thread-safe; used in the
 * request thread only.
 */
final class RequestPath {

	private static final long TICK_MILLIS = 20;

	private static final long REPORT_INTERVAL_MILLIS = 1000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * After this time all daemons know a new route: two heartbeats plus message delays.
	 */
	private static final long ROUTES_KNOWN_NANOS = 400_000_000;

	private static final Duration RETRY_WINDOW = Duration.ofSeconds(30);

	/** Interval of the check for requests in flight during a planned stop. */
	private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

	private final NioReactor reactor;

	private final RequestsDuty.SharedState known;

	private final OwnershipReportSink reports;

	private final BackendWatch watch;

	private final GrantRenewal grants;

	private final ServerGate serverGate;

	private final CrashHistory marks = new CrashHistory();

	private final InFlightRequests inFlight;

	private final LoadReports loads;

	private final OutcomeMeter outcomes;

	private final OwnerGate ownerGate;

	private final CallerPort callerPort;

	private final CallerListener callers;

	private final HttpServer backends;

	private final ForwardServer forwardServer;

	private final SimpleServer forwards;

	RequestPath(NioReactor reactor, DaemonContext context, RequestsDuty.SharedState known,
			OwnershipReportSink reports) {
		this.reactor = reactor;
		this.known = known;
		this.reports = reports;
		this.outcomes = context.outcomes();
		Settings settings = context.settings();
		GuardTimes guards = new GuardTimes(known.catalog());
		SuspectRequests suspects = new SuspectRequests(this.marks, context.events());
		BackendCalls calls = new BackendCalls(reactor);
		this.watch = new BackendWatch(reactor, calls, context.events());
		this.grants = new GrantRenewal(calls, known.ownership(), known.catalog());
		this.loads = new LoadReports(known.ownership(), reports, context.outcomes());
		OrderRunner runner = new OrderRunner(reactor, new BackendClient(reactor, settings.limits().maxBodyBytes()),
				calls, this.watch, this.grants, context.events(), guards, this.loads, suspects::recordCrash);
		this.serverGate = new ServerGate(reactor, this.watch, this.grants, runner, known.catalog());
		ForwardClient client = new ForwardClient(reactor, context, known.ownership(), guards);
		this.inFlight = new InFlightRequests(this.marks, reports, this.serverGate::hasGrant);
		BackendDispatcher dispatcher = new BackendDispatcher(settings.instance(), this.serverGate, client, known.cell(),
				known.catalog(), new BackendChooser(1, new SplittableRandom()), retries());
		this.ownerGate = new OwnerGate(known.ownership(), postingExecutor(reactor, context), suspects, this.inFlight,
				dispatcher::run, context.events());
		RequestRouter router = new RequestRouter(known.ownership(), this.ownerGate, client,
				new RouteChangeWaiter(reactor, known.ownership()), RetryBudget.withDefaults(), context.events());
		this.callerPort = new CallerPort(context, router, known.ownership(), known.catalog());
		this.callers = this.callerPort.listenOn(reactor, context);
		this.backends = HttpServer
			.builder(reactor, new BackendPort(this.watch, this::drained, context.events(), context.metrics()))
			.withListenAddress(settings.listen().backend())
			.build();
		this.forwardServer = new ForwardServer(context, this.ownerGate, this.serverGate, known.ownership());
		this.forwards = this.forwardServer.listenOn(reactor);
	}

	private static PostingExecutor postingExecutor(NioReactor reactor, DaemonContext context) {
		RequestLedger ledger = new RequestLedger(new SecureRandom().nextLong(), LedgerLimits.DEFAULT,
				System.nanoTime() / NANOS_PER_MILLI);
		return new PostingExecutor(reactor, ledger, context.events());
	}

	private static RetryPolicy retries() {
		return new RetryPolicy(RetryBudget.withDefaults(), new RecentLatencies(RETRY_WINDOW, System.nanoTime()));
	}

	void listen() throws IOException {
		this.callers.listen();
		this.backends.listen();
		this.forwards.listen();
		this.watch.addListener((status) -> {
			this.outcomes.updateSlots(status.service(), status.slots());
			report();
		});
		this.watch.start();
		this.reactor.delayBackground(TICK_MILLIS, this::tick);
		this.reactor.delayBackground(REPORT_INTERVAL_MILLIS, this::everySecond);
	}

	private void tick() {
		this.reactor.delayBackground(TICK_MILLIS, this::tick);
		this.ownerGate.updateLease();
		this.inFlight.reportDrained();
		this.watch.state()
			.filter((state) -> state != BackendState.LOST && state != BackendState.STARTING)
			.ifPresent((state) -> this.watch.announcement()
				.ifPresent((server) -> this.grants.renew(server, System.nanoTime())));
	}

	private void everySecond() {
		this.reactor.delayBackground(REPORT_INTERVAL_MILLIS, this::everySecond);
		report();
		this.loads.report();
	}

	// A status that does not fit in the ring is sent again within a second.
	private void report() {
		this.watch.status().ifPresent(this.reports::offer);
	}

	void order(RequestsOrder order) {
		switch (order) {
			case RequestsOrder.DrainRange(var held) -> this.inFlight.drain(held);
		}
	}

	// A backend server may stop once this instance owns no range of its service and no
	// request is in flight, waiting or running.
	private boolean drained() {
		boolean owns = this.watch.announcement()
			.filter((server) -> !this.known.ownership().get().held().assignments(server.service()).isEmpty())
			.isPresent();
		return !owns && this.inFlight.size() == 0 && this.serverGate.running() == 0 && this.serverGate.waiting() == 0;
	}

	GateView gate() {
		return this.serverGate.view();
	}

	void startDraining() {
		this.callerPort.leave();
		this.callers.refuseNew();
	}

	// Called once all ranges have been handed over.
	void close(Runnable idle) {
		long startedNanos = System.nanoTime();
		this.callers.close(() -> whenIdle(startedNanos, idle));
	}

	private void whenIdle(long startedNanos, Runnable idle) {
		boolean nothingInFlight = this.inFlight.size() == 0 && this.serverGate.running() == 0
				&& this.serverGate.waiting() == 0;
		if (nothingInFlight && noRecentForwards(startedNanos)) {
			idle.run();
		}
		else {
			this.reactor.delay(POLL_INTERVAL, () -> whenIdle(startedNanos, idle));
		}
	}

	// A frame that is in transit when the link closes leaves its sender with an unknown
	// outcome. Other daemons learn of the next owner one heartbeat and one renewal
	// after the ranges have moved, and then send nothing more to this daemon.
	private boolean noRecentForwards(long startedNanos) {
		long now = System.nanoTime();
		return now - startedNanos >= ROUTES_KNOWN_NANOS
				&& now - this.forwardServer.latestRequestNanos() >= ROUTES_KNOWN_NANOS;
	}

}
