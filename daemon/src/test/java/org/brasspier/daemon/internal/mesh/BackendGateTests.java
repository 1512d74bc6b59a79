package org.brasspier.daemon.internal.mesh;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;
import org.brasspier.core.RequestClass;
import org.brasspier.core.ServiceName;
import org.brasspier.core.crash.CrashReport;
import org.brasspier.core.crash.CrashState;
import org.brasspier.core.crash.RequestFingerprint;
import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.keys.GrantCall;
import org.brasspier.core.keys.GrantDelivery;
import org.brasspier.core.keys.HoldReport;
import org.brasspier.core.mesh.CallerLimits;
import org.brasspier.core.mesh.RouteRule;
import org.brasspier.core.mesh.RoutingConfig;
import org.brasspier.core.mesh.SendOutcome;
import org.brasspier.core.mesh.ServiceRule;
import org.brasspier.core.mesh.WeightedService;
import org.brasspier.core.request.Answer;
import org.brasspier.core.request.HeaderField;
import org.brasspier.core.returns.RequestOrigin;
import org.brasspier.daemon.internal.coldstart.WarmthChecks;
import org.brasspier.daemon.internal.evacuation.EvacuationRows;
import org.brasspier.daemon.internal.http.BackendPool;
import org.brasspier.daemon.internal.http.BodyBudget;
import org.brasspier.daemon.internal.http.ServerConnections;
import org.brasspier.daemon.internal.limit.ServerLimits;
import org.brasspier.daemon.internal.limit.ServerNotices;
import org.brasspier.daemon.internal.link.AnswerAdmission;
import org.brasspier.daemon.internal.link.LinkFlow;
import org.brasspier.daemon.internal.request.Cancellation;
import org.brasspier.daemon.mesh.AnswerIdentity;
import org.brasspier.daemon.mesh.BackendMessage;
import org.brasspier.daemon.mesh.BackendProtocol;
import org.brasspier.daemon.mesh.BackendRequest;
import org.brasspier.daemon.mesh.GrantProtocol;
import org.brasspier.daemon.mesh.Heartbeat;
import org.brasspier.daemon.mesh.MeshRequest;
import org.brasspier.daemon.mesh.MeshSettings;
import org.brasspier.daemon.mesh.MetadataStore;
import org.brasspier.daemon.mesh.RawRequest;
import org.brasspier.daemon.mesh.ServerNotice;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link BackendGate}, on a thread with as small a stack as that of the
 * deployed daemon.
 */
class BackendGateTests {

	private static final ServiceName SERVICE = new ServiceName("service");

	private static final BackendIncarnation SERVER = new BackendIncarnation("server", 1);

	private static final long STACK_BYTES = 256 * 1024;

	private static final int SLOTS = 4;

	/** Many times as many as overflowed the stack when each added frames to it. */
	private static final int WAITING = 2000;

	private static final int QUICK_RUNS = 500;

	private static final Duration TARGET = Duration.ofMinutes(10);

	private static final String HELD = "/held";

	private static final String WAITING_TARGET = "/waiting";

	private final Eventloop loop = Eventloop.create();

	private final CountDownLatch held = new CountDownLatch(SLOTS);

	private final CountDownLatch release = new CountDownLatch(1);

	private final ServerSocket server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());

	private final EvacuationRows evacuations = new EvacuationRows(new ConfigSourceStandIn((value) -> 0));

	private BackendRegistration registration;

	private BackendCrashes crashes;

	private BackendGate gate;

	private long requests;

	BackendGateTests() throws IOException {
		// The server's socket is opened above.
	}

	@BeforeEach
	void start() throws Exception {
		this.loop.keepAlive(true);
		Thread thread = new Thread(null, this.loop, "requests", STACK_BYTES);
		thread.setDaemon(true);
		thread.start();
		Thread.ofVirtual().start(this::accept);
		inLoop(() -> {
			create();
			return this.registration.receive(new BackendMessage.HeartbeatMessage(new Heartbeat(SERVICE, address(),
					SLOTS, false, Duration.ZERO, 1, new HoldReport(SERVER, List.of(), List.of()))));
		});
	}

	@AfterEach
	void stop() throws IOException {
		this.release.countDown();
		this.loop.execute(this.loop::breakEventloop);
		this.server.close();
	}

	private <T> T inLoop(Supplier<T> task) throws Exception {
		CompletableFuture<T> result = new CompletableFuture<>();
		this.loop.execute(() -> {
			try {
				result.complete(task.get());
			}
			catch (RuntimeException ex) {
				result.completeExceptionally(ex);
			}
		});
		return result.get(30, TimeUnit.SECONDS);
	}

	private InetSocketAddress address() {
		return (InetSocketAddress) this.server.getLocalSocketAddress();
	}

	private void create() {
		InstanceId self = new InstanceId("self");
		MetricRegistry metrics = new MetricRegistry();
		MeshLog log = new MeshLog(self, metrics);
		InetSocketAddress unused = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
		MeshSettings settings = new MeshSettings(self, new FailureDomain("domain"),
				new MeshSettings.ListenAddresses(unused, unused, unused, unused, Optional.empty()),
				new MeshSettings.Backend(SERVICE, address(), Duration.ofSeconds(1), new GrantDelivery.InHeartbeats()),
				new MeshSettings.Bounds(Duration.ofSeconds(2), Duration.ofSeconds(5), Duration.ofSeconds(10),
						new MeshSettings.Retries(0.2, 60, Duration.ofSeconds(10))));
		RoutingConfig config = new RoutingConfig(1,
				List.of(new RouteRule("route", "host", "/", true, TARGET, TARGET, 1,
						List.of(new WeightedService(SERVICE, 1)), 2)),
				List.of(new ServiceRule(SERVICE, 50, false, Optional.empty())), CallerLimits.DEFAULT);
		this.evacuations.apply(new MetadataStore.Rows(List.of(), 1), true);
		Directory directory = new Directory(this.evacuations, log);
		this.registration = new BackendRegistration(settings.backend(), log);
		ServerConnections connections = new ServerConnections();
		BackendPool pool = new BackendPool(this.loop, address(), new BodyBudget(this.loop, 1_000_000), connections);
		LinkFlow flow = new LinkFlow(this.loop, 0);
		SharedRows rows = new SharedRows(new ConfigHolder(new ConfigSourceStandIn((value) -> 0), log), this.evacuations,
				directory, log);
		HopClient hops = new HopClient(this.loop, rows, flow);
		StoreHealth health = new StoreHealth(log, metrics);
		KeyOwnership keys = new KeyOwnership(this.loop, settings, this.registration, connections, directory,
				new SilentStore(), new UnusedGrants(), hops, () -> config, System::nanoTime, health, log);
		this.crashes = new BackendCrashes(this.loop, self, this.registration, pool, directory, hops, new SilentStore(),
				health, log);
		ServerLimits limits = new ServerLimits(this.registration.coldStart(),
				new WarmthChecks(this.loop, pool, new Protocol(), this.registration.coldStart()),
				new ServerNotices(new NoticeListener(this.registration, log)), new Protocol(),
				MeshSettings.ColdOverage.UNLIMITED);
		this.gate = new BackendGate(this.loop, settings, this.registration, pool, new Protocol(), () -> config,
				this.evacuations, keys, this.crashes, limits, new AnswerAdmission(flow), log);
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket accepted = this.server.accept();
				Thread.ofVirtual().start(() -> answer(accepted));
			}
			catch (IOException ex) {
				// The server was closed.
			}
		}
	}

	// Answers requests; those for HELD only once they are released.
	private void answer(Socket accepted) {
		try (accepted;
				BufferedReader in = new BufferedReader(
						new InputStreamReader(accepted.getInputStream(), StandardCharsets.ISO_8859_1))) {
			String id = "";
			boolean mustWait = false;
			for (String line = in.readLine(); line != null; line = in.readLine()) {
				mustWait |= line.contains(HELD);
				if (line.startsWith("Request: ")) {
					id = line.substring("Request: ".length());
				}
				if (line.isEmpty()) {
					if (mustWait) {
						this.held.countDown();
						this.release.await();
					}
					accepted.getOutputStream()
						.write("HTTP/1.1 200 Any\r\nKeep-Alive: timeout=10\r\nRequest: %s\r\nContent-Length: 0\r\n\r\n"
							.formatted(id)
							.getBytes(StandardCharsets.ISO_8859_1));
					mustWait = false;
				}
			}
		}
		catch (IOException | InterruptedException ex) {
			// The gate closed the connection, or the test has ended.
		}
	}

	private HopRequest request(String target) {
		MeshRequest request = new MeshRequest("r" + this.requests++, "host", "GET", target, List.of(), new byte[0],
				(int) TARGET.toMillis(), OptionalInt.empty());
		return new HopRequest(SERVICE, SERVICE, RequestClass.LOOKUP, true, false, true, request, "route",
				RequestOrigin.UNKNOWN);
	}

	private Future<SendOutcome> send(String target) {
		CompletableFuture<SendOutcome> outcome = new CompletableFuture<>();
		HopRequest request = request(target);
		this.loop.execute(
				() -> this.gate.run(request, 0, new Cancellation()).whenResult((result) -> outcome.complete(result)));
		return outcome;
	}

	// Has all slots taken by requests that the server does not answer yet, and returns
	// them.
	private List<Future<SendOutcome>> takeSlots() throws Exception {
		for (int i = 0; i < QUICK_RUNS; i++) {
			send("/quick").get(30, TimeUnit.SECONDS);
		}
		List<Future<SendOutcome>> running = IntStream.range(0, SLOTS).mapToObj((i) -> send(HELD)).toList();
		assertThat(this.held.await(30, TimeUnit.SECONDS)).isTrue();
		return running;
	}

	private List<Future<SendOutcome>> fillQueue() throws Exception {
		List<Future<SendOutcome>> waiting = IntStream.range(0, WAITING).mapToObj((i) -> send(WAITING_TARGET)).toList();
		assertThat(inLoop(this.gate::load)).containsExactly(SLOTS, WAITING).inOrder();
		return waiting;
	}

	private static void assertAllEnd(List<Future<SendOutcome>> requests, Class<? extends SendOutcome> outcome)
			throws Exception {
		for (Future<SendOutcome> request : requests) {
			assertThat(request.get(30, TimeUnit.SECONDS)).isInstanceOf(outcome);
		}
	}

	private void depart() {
		this.registration.receive(new BackendMessage.Departure(SERVER.id()));
	}

	private void announceLeaving() {
		this.registration.announceLeaving(SERVER);
	}

	// Has another instance tell that the waiting requests have crashed three servers.
	private void blockWaiting() {
		Set<RequestFingerprint> waiting = Set.of(request(WAITING_TARGET).fingerprint());
		List<CrashReport> reports = IntStream.rangeClosed(1, 3)
			.mapToObj((i) -> new CrashReport(i, new BackendIncarnation("crashed", i), waiting))
			.toList();
		this.crashes.onCrashState(new InstanceId("other"), new CrashState(reports, Set.of(), Set.of()));
	}

	private static Stream<Named<Consumer<BackendGateTests>>> obstacles() {
		return Stream.of(Named.of("the server departs", BackendGateTests::depart),
				Named.of("the server says in an answer that it leaves", BackendGateTests::announceLeaving),
				Named.of("the requests have crashed other servers", BackendGateTests::blockWaiting));
	}

	/**
	 * Guards against requests that are never answered: each waiting request that could
	 * not start any more started the next one within its own start, until the stack
	 * overflowed.
	 */
	@ParameterizedTest
	@MethodSource("obstacles")
	void allWaitingRequestsEndWhenNoneOfThemMayStartAnyMore(Consumer<BackendGateTests> obstacle) throws Exception {
		List<Future<SendOutcome>> running = takeSlots();
		List<Future<SendOutcome>> waiting = fillQueue();
		inLoop(() -> {
			obstacle.accept(this);
			return true;
		});
		this.release.countDown();
		assertAllEnd(waiting, SendOutcome.NotRun.class);
		assertAllEnd(running, SendOutcome.Answered.class);
		assertThat(inLoop(this.gate::idle)).isTrue();
	}

	private static Stream<Named<Consumer<BackendGateTests>>> leavings() {
		return obstacles().limit(2);
	}

	/**
	 * Guards against requests that wait for a slot of a server that takes none of them
	 * any more, instead of being sent elsewhere.
	 */
	@ParameterizedTest
	@MethodSource("leavings")
	void waitingRequestsAreRejectedBeforeASlotIsFreeOnceTheirServerLeaves(Consumer<BackendGateTests> leaving)
			throws Exception {
		List<Future<SendOutcome>> running = takeSlots();
		List<Future<SendOutcome>> waiting = fillQueue();
		inLoop(() -> {
			leaving.accept(this);
			return true;
		});
		assertAllEnd(waiting, SendOutcome.NotRun.class);
		assertThat(inLoop(this.gate::load)).containsExactly(SLOTS, 0).inOrder();
		this.release.countDown();
		assertAllEnd(running, SendOutcome.Answered.class);
	}

	/**
	 * A store that never answers.
	 */
	private static final class SilentStore implements MetadataStore {

		@Override
		public Promise<Rows> read(String table) {
			return new SettablePromise<>();
		}

		@Override
		public Promise<Optional<Rows>> changes(String table, long after, Duration wait) {
			return new SettablePromise<>();
		}

		@Override
		public Promise<CommitResult> commit(Commit commit) {
			return new SettablePromise<>();
		}

	}

	/**
	 * The calls of grants, none of which is made.
	 */
	private static final class UnusedGrants implements GrantProtocol {

		@Override
		public RawRequest request(GrantCall call, InetSocketAddress server) {
			throw new UnsupportedOperationException();
		}

		@Override
		public GrantReply reply(Answer answer) {
			throw new UnsupportedOperationException();
		}

	}

	/**
	 * A server names the request in each answer.
	 */
	private static final class Protocol implements BackendProtocol {

		@Override
		public RawRequest request(BackendRequest request) {
			return new RawRequest("GET", request.request().target(),
					List.of(new HeaderField("Host", "h"), new HeaderField("Request", request.request().id())),
					new byte[0]);
		}

		@Override
		public AnswerIdentity identity(List<HeaderField> headers) {
			return new AnswerIdentity(
					headers.stream().filter((field) -> field.name().equals("Request")).map(HeaderField::value).toList(),
					List.of("stamp"));
		}

		@Override
		public Verdict verdict(BackendRequest request, Answer answer) {
			return Verdict.RAN;
		}

		@Override
		public Optional<ServerNotice> notice(BackendRequest request, Answer answer) {
			return Optional.of(new ServerNotice(OptionalDouble.empty(), false, Optional.empty()));
		}

		@Override
		public RawRequest healthCheck(String path) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Optional<Duration> coldRemaining(BackendIncarnation server, Answer answer) {
			throw new UnsupportedOperationException();
		}

	}

}
