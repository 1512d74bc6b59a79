package org.brasspier.daemon.internal.request;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.codahale.metrics.MetricRegistry;
import org.brasspier.core.FailureDomain;
import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;
import org.brasspier.core.document.ServiceCatalog;
import org.brasspier.core.ownership.MarkedRange;
import org.brasspier.core.routing.Assignment;
import org.brasspier.core.routing.OwnershipSnapshot;
import org.brasspier.core.routing.PeerAddress;
import org.brasspier.core.routing.PeerAddresses;
import org.brasspier.core.routing.RouteTable;
import org.brasspier.daemon.internal.DaemonContext;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.loop.Duty;
import org.brasspier.daemon.internal.loop.Ring;
import org.brasspier.daemon.internal.ownership.CellView;
import org.brasspier.daemon.internal.ownership.RequestsOrder;
import org.brasspier.daemon.internal.ownership.RequestsReport;
import org.brasspier.daemon.internal.settings.Settings;
import org.brasspier.standins.Ports;
import org.brasspier.wire.Handshake;
import org.brasspier.wire.SharedKeys;

/**
 * Runs the request threads of several daemons in this process, with ownership set by the
 * test and a fake backend server for each daemon.
 */
final class PathFixture implements AutoCloseable {

	static final ServiceName HULLBOOK = new ServiceName("hullbook");

	private static final long WAIT_SECONDS = 20;

	private static final HttpClient HTTP = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final Map<InstanceId, Member> members = new LinkedHashMap<>();

	/** The services of the configuration document in force. */
	volatile ServiceCatalog catalog = ServiceCatalog.OPEN;

	Member add(String name) throws IOException {
		Member member = new Member(new InstanceId(name));
		this.members.put(member.instance, member);
		return member;
	}

	// Publishes to all members that one of them owns all ranges.
	void owns(Member owner, long fence) {
		this.members.values().forEach((member) -> member.sees(owner, fence));
	}

	private CellView cell() {
		List<CellView.Member> all = this.members.keySet()
			.stream()
			.map((id) -> new CellView.Member(id, new FailureDomain("duluth"), Optional.of(HULLBOOK), "ACTIVE", 4, true,
					new PeerAddress("127.0.0.1", 1, 1, 1, 1), Optional.empty()))
			.toList();
		return new CellView(1, 1, Optional.empty(), Optional.empty(), all, List.of(), List.of());
	}

	static void await(BooleanSupplier condition) throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() - end > 0) {
				throw new AssertionError("the condition was not met in time");
			}
			TimeUnit.MILLISECONDS.sleep(5);
		}
	}

	@Override
	public void close() throws InterruptedException {
		for (Member member : this.members.values()) {
			member.requests.stop(1);
			member.server.close();
		}
	}

	/**
	 * The request thread of one daemon with its backend server.
	 */
	final class Member {

		final InstanceId instance;

		final FakeServer server = new FakeServer();

		final MetricRegistry metrics = new MetricRegistry();

		final EventLog events = new EventLog(1000);

		final BlockingQueue<RequestsReport> reports = new LinkedBlockingQueue<>();

		final int callerPort = Ports.free().getPort();

		final int forwardPort = Ports.free().getPort();

		final int backendPort = Ports.free().getPort();

		final RequestsDuty requests;

		/** The port through which the other members reach the forward port. */
		volatile int forwardedThrough = this.forwardPort;

		volatile List<MarkedRange> marked = List.of();

		private volatile OwnershipSnapshot snapshot;

		Member(InstanceId instance) throws IOException {
			this.instance = instance;
			this.snapshot = new OwnershipSnapshot(instance, RouteTable.EMPTY, RouteTable.EMPTY, System.nanoTime(),
					new PeerAddresses(Map.of()));
			DaemonContext context = new DaemonContext(settings(), this.events, this.metrics);
			this.requests = new RequestsDuty(context, new RequestsDuty.SharedState(() -> this.snapshot,
					PathFixture.this::cell, () -> PathFixture.this.catalog));
			Duty sink = new Duty("reports");
			sink.start();
			this.requests.connectOwnership(new Ring<>(1024, sink, this.reports::add));
			this.requests.start();
		}

		private Settings settings() {
			InetSocketAddress unused = new InetSocketAddress("127.0.0.1", 1);
			return new Settings(this.instance, new FailureDomain("duluth"), "main",
					new Settings.Listen(new InetSocketAddress("127.0.0.1", this.callerPort),
							new InetSocketAddress("127.0.0.1", this.forwardPort), unused,
							new InetSocketAddress("127.0.0.1", this.backendPort), unused),
					"127.0.0.1", Map.of(), new Settings.Platform("127.0.0.1:1", "127.0.0.1:1"),
					new Settings.Secrets(new SharedKeys(List.of("a-shared-key-for-tests")), List.of("secret"), "token"),
					new Settings.Limits(1 << 20, 5000, Handshake.MAX_VERSION));
		}

		void sees(Member owner, long fence) {
			sees(owner, fence, System.nanoTime() + TimeUnit.MINUTES.toNanos(10));
		}

		void sees(Member owner, long fence, long leaseEndNanos) {
			RouteTable routes = RouteTable.of(fence,
					Map.of(HULLBOOK, List.of(new Assignment(KeyRange.ALL, owner.instance, new Fence(fence)))));
			Map<InstanceId, PeerAddress> addresses = new LinkedHashMap<>();
			PathFixture.this.members.forEach((id, member) -> addresses.put(id,
					new PeerAddress("127.0.0.1", 1, member.forwardedThrough, member.callerPort, 1)));
			this.snapshot = new OwnershipSnapshot(this.instance, routes,
					owner.instance.equals(this.instance) ? routes : RouteTable.EMPTY, RouteTable.EMPTY, this.marked,
					leaseEndNanos, new PeerAddresses(addresses));
		}

		boolean order(RequestsOrder order) {
			return this.requests.orders().offer(order);
		}

		// Announces the backend server and returns the body of the answer.
		String announce(String state, boolean checksFences) throws Exception {
			return announce(state, checksFences, 4);
		}

		String announce(String state, boolean checksFences, int slots) throws Exception {
			HttpResponse<String> response = HTTP
				.send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.backendPort + "/v1/announce"))
					.POST(HttpRequest.BodyPublishers.ofString("""
							{"service": "hullbook", "address": "127.0.0.1:%d", "state": "%s", "slots": %d,
							 "connections": %d, "checks_fences": %s, "cold_start_millis": 0}
							""".formatted(this.server.port(), state, slots, slots + 16, checksFences)))
					.build(), HttpResponse.BodyHandlers.ofString());
			return response.body();
		}

		HttpResponse<String> get(String path, String... headers) throws Exception {
			return send("GET", path, "", headers).get(WAIT_SECONDS, TimeUnit.SECONDS);
		}

		HttpResponse<String> post(String path, String body, String... headers) throws Exception {
			return send("POST", path, body, headers).get(WAIT_SECONDS, TimeUnit.SECONDS);
		}

		CompletableFuture<HttpResponse<String>> send(String method, String path, String body, String... headers) {
			HttpRequest.Builder builder = HttpRequest
				.newBuilder(URI.create("http://127.0.0.1:" + this.callerPort + path))
				.timeout(Duration.ofSeconds(WAIT_SECONDS))
				.method(method, body.isEmpty() ? HttpRequest.BodyPublishers.noBody()
						: HttpRequest.BodyPublishers.ofString(body));
			List<String> all = new ArrayList<>(List.of(headers));
			for (int i = 0; i < all.size(); i += 2) {
				builder.header(all.get(i), all.get(i + 1));
			}
			return HTTP.sendAsync(builder.build(), HttpResponse.BodyHandlers.ofString());
		}

		long count(String counter) {
			return this.metrics.counter(counter).getCount();
		}

	}

}
