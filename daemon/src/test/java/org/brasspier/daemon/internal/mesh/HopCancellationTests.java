package org.brasspier.daemon.internal.mesh;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;
import org.brasspier.core.RequestClass;
import org.brasspier.core.ServiceName;
import org.brasspier.core.mesh.SendOutcome;
import org.brasspier.daemon.internal.evacuation.EvacuationRows;
import org.brasspier.daemon.internal.request.Cancellation;
import org.brasspier.daemon.mesh.MeshRequest;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of requests whose caller leaves while they are on their way to another daemon.
 */
class HopCancellationTests {

	private static final int MEGABITS = 10;

	/** Of several large requests, the smallest is sent first. */
	private static final int LARGE_BYTES = 300_000;

	private static final InstanceId SELF = new InstanceId("self");

	private final Eventloop loop = Eventloop.create();

	private final BlockingQueue<String> received = new LinkedBlockingQueue<>();

	@BeforeEach
	void startLoop() {
		this.loop.keepAlive(true);
		Thread.ofPlatform().daemon().start(this.loop);
	}

	private HopClient client() {
		MeshLog log = new MeshLog(SELF, new MetricRegistry());
		ConfigSourceStandIn source = new ConfigSourceStandIn((value) -> 0);
		EvacuationRows evacuations = new EvacuationRows(source);
		return new HopClient(this.loop,
				new SharedRows(new ConfigHolder(source, log), evacuations, new Directory(evacuations, log), log));
	}

	private static Member member(InetSocketAddress address) {
		return new Member(new InstanceId("other"), address, new FailureDomain("z"), new ServiceName("plain"),
				Optional.empty(), 1, true);
	}

	private static HopRequest request(String id, int bytes) {
		ServiceName service = new ServiceName("plain");
		return new HopRequest(service, service, RequestClass.POSTING, false, false, true,
				new MeshRequest(id, "host", "POST", "/", List.of(), new byte[bytes], 20_000, OptionalInt.empty()));
	}

	// Answers pings only, so that requests stay unanswered.
	private List<HopMessage> record(HopMessage message) {
		return switch (message) {
			case HopMessage.ForwardedRequest(long exchange, long sent, HopRequest request) -> {
				this.received.add(request.request().id());
				yield List.of();
			}
			case HopMessage.Cancel ignored -> {
				this.received.add("cancel");
				yield List.of();
			}
			case HopMessage.Ping ignored -> List.of(new HopMessage.Pong());
			default -> List.of();
		};
	}

	private String nextReceived() throws InterruptedException {
		return Optional.ofNullable(this.received.poll(30, TimeUnit.SECONDS)).orElse("nothing");
	}

	private static void assertNotRun(CompletableFuture<SendOutcome> outcome) throws Exception {
		assertThat(outcome.get(30, TimeUnit.SECONDS)).isInstanceOf(SendOutcome.NotRun.class);
	}

	/**
	 * Guards against a request that is sent to another daemon although its caller left
	 * before the connection was open.
	 */
	@Test
	void aRequestWhoseCallerLeavesWhileTheLinkOpensIsNotSent() throws Exception {
		try (HopServerStandIn server = new HopServerStandIn(this::record)) {
			CompletableFuture<SendOutcome> outcome = new CompletableFuture<>();
			this.loop.execute(() -> {
				HopClient client = client();
				Cancellation cancellation = new Cancellation();
				client.send(member(server.address()), request("left", 10), cancellation).whenResult(outcome::complete);
				cancellation.cancel();
				client.send(member(server.address()), request("waits", 10), new Cancellation());
			});
			assertNotRun(outcome);
			assertThat(nextReceived()).isEqualTo("waits");
		}
	}

	/**
	 * Guards against a large request that is sent over a full link although its caller
	 * has left.
	 */
	@Test
	void aRequestThatWaitsForTheLinkIsWithdrawnWhenItsCallerLeaves() throws Exception {
		try (HopServerStandIn server = new HopServerStandIn(this::record, MEGABITS);
				LowBandwidthNetwork network = new LowBandwidthNetwork(server.address(), MEGABITS, true)) {
			CompletableFuture<SendOutcome> outcome = new CompletableFuture<>();
			this.loop.execute(() -> {
				HopClient client = client();
				Cancellation cancellation = new Cancellation();
				client.send(member(network.address()), request("first", LARGE_BYTES - 1000), new Cancellation());
				client.send(member(network.address()), request("left", LARGE_BYTES), cancellation)
					.whenResult(outcome::complete);
				client.send(member(network.address()), request("last", LARGE_BYTES + 1000), new Cancellation());
				this.loop.delay(100, cancellation::cancel);
			});
			assertNotRun(outcome);
			assertThat(nextReceived()).isEqualTo("first");
			assertThat(nextReceived()).isEqualTo("last");
		}
	}

	/**
	 * Guards against a cancellation that waits behind other large requests while the
	 * cancelled one runs.
	 */
	@Test
	void aCancellationFollowsItsOwnRequestBeforeOtherLargeOnes() throws Exception {
		try (HopServerStandIn server = new HopServerStandIn(this::record, MEGABITS);
				LowBandwidthNetwork network = new LowBandwidthNetwork(server.address(), MEGABITS, true)) {
			this.loop.execute(() -> {
				HopClient client = client();
				Cancellation cancellation = new Cancellation();
				client.send(member(network.address()), request("left", LARGE_BYTES), cancellation);
				for (int i = 0; i < 3; i++) {
					client.send(member(network.address()), request("later", LARGE_BYTES + 1000), new Cancellation());
				}
				this.loop.delay(100, cancellation::cancel);
			});
			assertThat(nextReceived()).isEqualTo("left");
			assertThat(nextReceived()).isEqualTo("cancel");
			assertThat(nextReceived()).isEqualTo("later");
		}
	}

}
