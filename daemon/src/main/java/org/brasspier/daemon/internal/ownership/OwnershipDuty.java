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
 * The ownership thread: renews this instance's lease and, if the cell's row says so,
 * manages the leases of others. Executes the actions of {@link OwnershipMachine}. All
 * public methods are thread-safe.
 */
public final class OwnershipDuty {

	private static final int REPORT_CAPACITY = 1024;

	private static final long TICK_INTERVAL_MILLIS = 25;

	/** Interval of updates of the operators' view; snapshots are published at once. */
	private static final long VIEW_INTERVAL_MILLIS = 200;

	/** See docs/DESIGN.md, rule 8. */
	private static final int DEFAULT_GUARD_MILLIS = 200;

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	/** Twice the response time of a slow table. */
	private static final Duration TABLE_TIMEOUT = Duration.ofSeconds(4);

	/** Placeholder: all addresses are IP addresses, so no name is ever resolved. */
	private static final InetSocketAddress NO_NAME_SERVER = new InetSocketAddress("127.0.0.1", 53);

	private final Duty duty = new Duty("ownership");

	private final Ring<RequestsReport> reports = new Ring<>(REPORT_CAPACITY, this.duty, this::report);

	private final DaemonContext context;

	private final StateMachineClock clock = new StateMachineClock();

	private final OwnershipMachine machine;

	private final PeerLinks links;

	private final RowStore store;

	private final SnapshotBuilder publisher;

	private final OrderTracker orders = new OrderTracker(this.duty,
			(number, order) -> run(machine().order(number, order, now())));

	private final Meter tableReads;

	private final Meter tableWrites;

	private volatile OwnershipSnapshot snapshot;

	private volatile CellView view = CellView.UNKNOWN;

	private Optional<Ring<RequestsOrder>> requests = Optional.empty();

	private DocumentVersions documents = DocumentVersions.NONE;

	private Runnable onRelinquished = () -> {
	};

	private long viewUpdatedAtMillis;

	private @Nullable DocumentInForce weightsSource;

	/**
	 * Creates the duty without starting it.
	 * @param context the context shared by all duties
	 */
	public OwnershipDuty(DaemonContext context) {
		this.context = context;
		Settings settings = context.settings();
		this.machine = new OwnershipMachine(self(settings), Timing.STANDARD, new BalancingPlacement(),
				this.clock.now());
		Meter controlBytes = context.metrics().meter("control.bytes");
		this.tableReads = context.metrics().meter("table.reads");
		this.tableWrites = context.metrics().meter("table.writes");
		this.links = new PeerLinks(this.duty.reactor(), context, this::controlAddress, this::receive,
				() -> machine().view().known(), controlBytes::mark);
		this.publisher = new SnapshotBuilder(settings.peerPorts(), this.clock);
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

	private static MemberInfo self(Settings settings) {
		int incarnation = ThreadLocalRandom.current().nextInt(1, Integer.MAX_VALUE);
		PeerAddress address = new PeerAddress(settings.advertisedHost(), settings.listen().control().getPort(),
				settings.listen().forwards().getPort(), settings.listen().callers().getPort(),
				settings.listen().operators().getPort());
		return new MemberInfo(new MemberKey(settings.instance(), incarnation), settings.failureDomain(), address,
				MemberPhase.WAITING, Optional.empty());
	}

	/**
	 * Connects the request thread. Must be called before {@link #start()}.
	 * @param ring the ring of orders for the request thread
	 * @return the ring for the reports of the request thread
	 */
	public Ring<RequestsReport> connectRequests(Ring<RequestsOrder> ring) {
		this.requests = Optional.of(ring);
		return this.reports;
	}

	/**
	 * Sets the exchange of document versions. Must be called before {@link #start()}.
	 * @param versions gives the own version and receives those of the peers
	 */
	public void setDocumentVersions(DocumentVersions versions) {
		this.documents = versions;
	}

	/**
	 * Opens the control port and starts the thread.
	 * @throws IOException if the port can't be opened
	 */
	public void start() throws IOException {
		this.duty.start(() -> {
			this.links.listenOn(this.context.settings().listen().control()).listen();
			tick();
		});
	}

	private void tick() {
		this.duty.reactor().delay(TICK_INTERVAL_MILLIS, this::tick);
		this.machine.setDocumentVersion(this.documents.current());
		updateWeights(this.context.documents().inForce());
		run(this.machine.tick(now()));
		this.links.closeSilent();
		if (now() - this.viewUpdatedAtMillis >= VIEW_INTERVAL_MILLIS) {
			this.viewUpdatedAtMillis = now();
			this.view = this.publisher.view(this.machine.view(), now());
		}
	}

	// Reads the weights only when the document changes: parsing them takes as long as
	// the rest of a tick.
	private void updateWeights(DocumentInForce latest) {
		if (latest != this.weightsSource) {
			this.weightsSource = latest;
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
			case ControlMessage.Heartbeat heartbeat -> this.documents.onPeerVersion(from, heartbeat.document());
			case ControlMessage.Renewal renewal -> this.documents.onPeerVersion(from, renewal.document());
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

	// Must equal the guard time that the request thread applies to its orders.
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
			case OwnershipAction.RecordEvent tell -> this.context.events().record(tell.kind(), tell.subject(), tell.detail());
			case OwnershipAction.OrderDone done -> this.orders.onOrderDone(done);
			case OwnershipAction.Left left -> this.onRelinquished.run();
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
			// The ring is full because the request thread is behind; tries again soon.
			this.duty.reactor().delay(TICK_INTERVAL_MILLIS, () -> drain(drain));
		}
	}

	/**
	 * Returns the current ownership state.
	 * @return the latest snapshot
	 */
	public OwnershipSnapshot snapshot() {
		return this.snapshot;
	}

	/**
	 * Returns the state of the cell as known to this daemon.
	 * @return the latest view, up to 200 ms old
	 */
	public CellView view() {
		return this.view;
	}

	/**
	 * Returns the interface for operators' orders.
	 * @return the interface, which is thread-safe
	 */
	public OwnershipOrders orders() {
		return this.orders;
	}

	/**
	 * Releases all ranges of this instance gracefully.
	 * @param done called in another thread once the instance owns no ranges
	 */
	public void relinquish(Runnable done) {
		this.duty.execute(() -> {
			this.onRelinquished = done;
			run(this.machine.leave(now()));
		});
	}

	/**
	 * Stops the thread.
	 * @throws InterruptedException if the calling thread is interrupted
	 */
	public void stop() throws InterruptedException {
		this.duty.stop();
	}

}
