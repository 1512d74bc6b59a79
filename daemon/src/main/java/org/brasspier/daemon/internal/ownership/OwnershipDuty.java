package org.brasspier.daemon.internal.ownership;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

import com.codahale.metrics.Meter;
import io.activej.dns.DnsClient;
import io.activej.http.HttpClient;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.document.DocumentInForce;
import org.brasspier.core.document.ServicePolicy;
import org.brasspier.core.ownership.ControlMessage;
import org.brasspier.core.ownership.MemberInfo;
import org.brasspier.core.ownership.MemberKey;
import org.brasspier.core.ownership.MemberPhase;
import org.brasspier.core.ownership.OwnershipAction;
import org.brasspier.core.ownership.OwnershipMachine;
import org.brasspier.core.ownership.Timing;
import org.brasspier.core.placement.BalancingPlacement;
import org.brasspier.core.routing.OwnershipSnapshot;
import org.brasspier.core.routing.PeerAddress;
import org.brasspier.core.routing.PeerAddresses;
import org.brasspier.core.routing.RouteTable;
import org.brasspier.daemon.internal.DaemonContext;
import org.brasspier.daemon.internal.loop.Duty;
import org.brasspier.daemon.internal.loop.Ring;
import org.brasspier.daemon.internal.platform.HttpPlatform;
import org.brasspier.daemon.internal.settings.Settings;
import org.jspecify.annotations.Nullable;

/**
 * The duty that keeps this instance's lease and, where the cell's row says so, manages
 * the leases of others: it carries out what {@link OwnershipMachine} decides.
 * Thread-safe.
 */
public final class OwnershipDuty {

	private static final int REPORTS = 1024;

	private static final long TICK_MILLIS = 25;

	/** How often operators' view is made anew; the snapshot is published at once. */
	private static final long VIEW_MILLIS = 200;

	/** See docs/DESIGN.md, rule 8. */
	private static final int DEFAULT_GUARD_MILLIS = 200;

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	/** Twice the time that a slow table takes. */
	private static final Duration TABLE_TIMEOUT = Duration.ofSeconds(4);

	/** Every address is an IP number, so no name is ever looked up. */
	private static final InetSocketAddress NO_NAME_SERVER = new InetSocketAddress("127.0.0.1", 53);

	private final Duty duty = new Duty("ownership");

	private final Ring<RequestsReport> reports = new Ring<>(REPORTS, this.duty, this::report);

	private final DaemonContext context;

	private final MachineClock clock = new MachineClock();

	private final OwnershipMachine machine;

	private final PeerLinks links;

	private final RowStore store;

	private final Publisher publisher;

	private final OrderBook orders = new OrderBook(this.duty,
			(number, order) -> run(machine().order(number, order, now())));

	private final Meter tableReads;

	private final Meter tableWrites;

	private volatile OwnershipSnapshot snapshot;

	private volatile CellView view = CellView.UNKNOWN;

	private Optional<Ring<RequestsOrder>> requests = Optional.empty();

	private DocumentVersions documents = DocumentVersions.NONE;

	private Runnable whenLeft = () -> {
	};

	private long viewMadeAt;

	private @Nullable DocumentInForce weighed;

	/**
	 * Creates the duty; it does nothing until it is started.
	 * @param context what every duty needs
	 */
	public OwnershipDuty(DaemonContext context) {
		this.context = context;
		Settings settings = context.settings();
		this.machine = new OwnershipMachine(me(settings), Timing.STANDARD, new BalancingPlacement(), this.clock.now());
		Meter controlBytes = context.metrics().meter("control.bytes");
		this.tableReads = context.metrics().meter("table.reads");
		this.tableWrites = context.metrics().meter("table.writes");
		this.links = new PeerLinks(this.duty.reactor(), context, this::controlAddress, this::receive,
				() -> machine().view().known(), controlBytes::mark);
		this.publisher = new Publisher(settings.peerPorts(), this.clock);
		HttpClient http = HttpClient.builder(this.duty.reactor(), DnsClient.create(this.duty.reactor(), NO_NAME_SERVER))
			.withConnectTimeout(CONNECT_TIMEOUT)
			.withReadWriteTimeout(TABLE_TIMEOUT)
			.withKeepAliveTimeout(Duration.ofSeconds(10))
			.build();
		HttpPlatform platform = new HttpPlatform(http, settings.platform().table(), settings.platform().objectStore(),
				context.secrets());
		this.store = new RowStore(platform, "cell/" + settings.cell(), context.events());
		this.snapshot = new OwnershipSnapshot(settings.instance(), RouteTable.EMPTY, RouteTable.EMPTY,
				System.nanoTime(), new PeerAddresses(java.util.Map.of()));
	}

	private static MemberInfo me(Settings settings) {
		int incarnation = ThreadLocalRandom.current().nextInt(1, Integer.MAX_VALUE);
		PeerAddress address = new PeerAddress(settings.advertisedHost(), settings.listen().control().getPort(),
				settings.listen().forwards().getPort(), settings.listen().callers().getPort(),
				settings.listen().operators().getPort());
		return new MemberInfo(new MemberKey(settings.instance(), incarnation), settings.failureDomain(), address,
				MemberPhase.WAITING, Optional.empty());
	}

	/**
	 * Joins the thread of requests; called before {@link #start()}.
	 * @param ring the ring into the thread of requests
	 * @return the ring for its reports
	 */
	public Ring<RequestsReport> joinRequests(Ring<RequestsOrder> ring) {
		this.requests = Optional.of(ring);
		return this.reports;
	}

	/**
	 * Joins the holder of the configuration document; called before {@link #start()}.
	 * @param versions told of the versions that peers have in force
	 */
	public void joinDocuments(DocumentVersions versions) {
		this.documents = versions;
	}

	/**
	 * Opens the control port and begins to work.
	 * @throws IOException if the port can't be opened
	 */
	public void start() throws IOException {
		this.duty.start(() -> {
			this.links.listenOn(this.context.settings().listen().control()).listen();
			tick();
		});
	}

	private void tick() {
		this.duty.reactor().delay(TICK_MILLIS, this::tick);
		this.machine.setDocumentVersion(this.documents.current());
		takeWeights(this.context.documents().inForce());
		run(this.machine.tick(now()));
		this.links.dropSilent();
		if (now() - this.viewMadeAt >= VIEW_MILLIS) {
			this.viewMadeAt = now();
			this.view = this.publisher.view(this.machine.view(), now());
		}
	}

	// Reading the weights out of the document takes as long as all the rest of a tick.
	private void takeWeights(DocumentInForce latest) {
		if (latest != this.weighed) {
			this.weighed = latest;
			this.machine.setWeights(latest.document().weights());
		}
	}

	private OwnershipMachine machine() {
		return this.machine;
	}

	private long now() {
		return this.clock.now();
	}

	private Optional<InetSocketAddress> controlAddress(InstanceId instance) {
		Settings.PeerPorts other = this.context.settings().peerPorts().get(instance);
		if (other != null) {
			return Optional.of(new InetSocketAddress(other.host(), other.control()));
		}
		return this.machine.known()
			.row()
			.member(instance)
			.map(MemberInfo::address)
			.map((address) -> new InetSocketAddress(address.host(), address.controlPort()));
	}

	private void receive(InstanceId from, ControlMessage message) {
		switch (message) {
			case ControlMessage.Heartbeat heartbeat -> this.documents.seen(from, heartbeat.document());
			case ControlMessage.Renewal renewal -> this.documents.seen(from, renewal.document());
			default -> {
			}
		}
		run(this.machine.onMessage(from, message, now()));
	}

	private void report(RequestsReport report) {
		switch (report) {
			case RequestsReport.RangeDrained drained ->
				run(this.machine.onDrained(drained.held(), drained.marks(), now()));
			case RequestsReport.BackendStatus status -> backend(status);
			case RequestsReport.RangeLoads loads ->
				run(this.machine.reportLoads(new ControlMessage.Loads(loads.service(), loads.loads()), now()));
		}
	}

	private void backend(RequestsReport.BackendStatus status) {
		MemberPhase phase = switch (status.state()) {
			case STARTING -> MemberPhase.WAITING;
			case READY -> MemberPhase.ACTIVE;
			case DRAINING, LOST -> MemberPhase.DRAINING;
		};
		MemberInfo.Backend backend = new MemberInfo.Backend(status.service(), status.slots(), status.checksFences(),
				status.coldStartMillis(), guardMillis(status.service()));
		run(this.machine.onBackendChanged(phase, Optional.of(backend), now()));
		if (status.state() == RequestsReport.BackendState.LOST) {
			run(this.machine.onBackendLost(now()));
		}
	}

	// The same number that the thread of requests bounds its orders with.
	private int guardMillis(ServiceName service) {
		return this.context.documents()
			.catalog()
			.find(service)
			.map(ServicePolicy::guardMillis)
			.orElse(DEFAULT_GUARD_MILLIS);
	}

	private void run(List<OwnershipAction> actions) {
		actions.forEach(this::run);
	}

	private void run(OwnershipAction action) {
		switch (action) {
			case OwnershipAction.Send send -> this.links.send(send.to(), send.message());
			case OwnershipAction.ReadRow read -> read();
			case OwnershipAction.WriteRow write -> write(write);
			case OwnershipAction.Publish publish -> this.snapshot = this.publisher.snapshot(this.machine.view());
			case OwnershipAction.Drain drain -> drain(drain);
			case OwnershipAction.RecordEvent tell ->
				this.context.events().record(tell.kind(), tell.subject(), tell.detail());
			case OwnershipAction.OrderDone done -> this.orders.done(done);
			case OwnershipAction.Left left -> this.whenLeft.run();
		}
	}

	private void read() {
		this.tableReads.mark();
		this.store.read(this.machine.known(), (row) -> run(row.map((known) -> this.machine.onRowRead(known, now()))
			.orElseGet(() -> this.machine.onReadFailed(now()))));
	}

	private void write(OwnershipAction.WriteRow write) {
		this.tableWrites.mark();
		this.store.write(write.expectedVersion(), write.row(), (outcome) -> run(switch (outcome) {
			case RowStore.Outcome.Written(long version) -> this.machine.onWritten(version, now());
			case RowStore.Outcome.Conflict conflict -> this.machine.onWriteConflict(now());
			case RowStore.Outcome.Unknown unknown -> this.machine.onWriteUnknown(now());
			case RowStore.Outcome.Failed failed -> this.machine.onWriteFailed(now());
		}));
	}

	private void drain(OwnershipAction.Drain drain) {
		boolean passed = this.requests.isPresent()
				&& this.requests.get().offer(new RequestsOrder.DrainRange(drain.held()));
		if (this.requests.isEmpty()) {
			run(this.machine.onDrained(drain.held(), List.of(), now()));
		}
		else if (!passed) {
			// The ring is full: the thread of requests is behind, so ask again soon.
			this.duty.reactor().delay(TICK_MILLIS, () -> drain(drain));
		}
	}

	/**
	 * What this instance holds and knows now.
	 * @return the latest snapshot
	 */
	public OwnershipSnapshot snapshot() {
		return this.snapshot;
	}

	/**
	 * What this daemon knows of its cell.
	 * @return the latest view, up to a fifth of a second old
	 */
	public CellView view() {
		return this.view;
	}

	/**
	 * The way for operators' orders.
	 * @return orders that any thread may give
	 */
	public OwnershipOrders orders() {
		return this.orders;
	}

	/**
	 * Gives up everything this instance owns, gracefully.
	 * @param done called in another thread once nothing is owned any more
	 */
	public void leave(Runnable done) {
		this.duty.execute(() -> {
			this.whenLeft = done;
			run(this.machine.leave(now()));
		});
	}

	/**
	 * Ends the duty.
	 * @throws InterruptedException if the calling thread is interrupted
	 */
	public void stop() throws InterruptedException {
		this.duty.stop();
	}

}
