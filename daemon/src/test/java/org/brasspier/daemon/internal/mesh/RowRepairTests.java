package org.brasspier.daemon.internal.mesh;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;
import org.brasspier.core.RequestClass;
import org.brasspier.core.ServiceName;
import org.brasspier.core.mesh.KnownRows;
import org.brasspier.core.mesh.RowRequestThrottle;
import org.brasspier.core.mesh.SendOutcome;
import org.brasspier.daemon.internal.evacuation.EvacuationRows;
import org.brasspier.daemon.internal.request.Cancellation;
import org.brasspier.daemon.mesh.MeshRequest;
import org.brasspier.daemon.mesh.MetadataStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Many daemons send requests to one that has none of the rows that they have.
 */
class RowRepairTests {

	private static final int OTHER_DAEMONS = 12;

	private final Eventloop loop = Eventloop.create();

	private final RowRequestThrottle requests = new RowRequestThrottle();

	private final AtomicInteger versionNotices = new AtomicInteger();

	private final AtomicInteger rowsMessages = new AtomicInteger();

	private final CompletableFuture<Boolean> allNoticesReceived = new CompletableFuture<>();

	// A client that still runs goes on connecting to the port of its lost server, which
	// may be that of another test by then.
	@AfterEach
	void stop() {
		this.loop.execute(this.loop::breakEventloop);
	}

	private static HopClient client(Eventloop loop) {
		MeshLog log = new MeshLog(new InstanceId("self"), new MetricRegistry());
		ConfigSourceStandIn source = new ConfigSourceStandIn((value) -> 3);
		EvacuationRows evacuations = new EvacuationRows(source);
		ConfigHolder config = new ConfigHolder(source, log);
		MetadataStore.Row row = new MetadataStore.Row(ConfigSourceStandIn.KEY,
				Optional.of("3".getBytes(StandardCharsets.UTF_8)), 5);
		config.apply(new MetadataStore.Rows(List.of(row), 5), ConfigHolder.Origin.STORE);
		return new HopClient(loop, new SharedRows(config, evacuations, new Directory(evacuations, log), log));
	}

	// Answers like a daemon that lacks the rows for the whole test.
	private List<HopMessage> answers(HopMessage message) {
		return switch (message) {
			case HopMessage.ForwardedRequest request -> List.of(
					new HopMessage.ForwardedResponse(request.exchange(),
							new SendOutcome.NotRun(Failure.of(ErrorKind.NO_CONFIGURATION, "none is known"), false)),
					new HopMessage.VersionsNotice(new KnownRows(0, 0)));
			case HopMessage.Ping ignored -> List.of(new HopMessage.Pong());
			case HopMessage.VersionsNotice ignored -> {
				if (this.versionNotices.incrementAndGet() == OTHER_DAEMONS) {
					this.allNoticesReceived.complete(true);
				}
				yield this.requests.tryRequest(System.nanoTime())
						? List.of(new HopMessage.RowsRequest(new KnownRows(0, 0))) : List.of();
			}
			case HopMessage.RowsResponse ignored -> {
				this.rowsMessages.incrementAndGet();
				yield List.of();
			}
			default -> List.of();
		};
	}

	/**
	 * Guards against a daemon that lags behind and receives the same large row from all
	 * other daemons at once, which saturates its network for seconds.
	 */
	@Test
	void onlyTheDaemonThatIsAskedSendsItsRows() throws Exception {
		try (HopServerStandIn server = new HopServerStandIn(this::answers)) {
			Member member = new Member(new InstanceId("other"), server.address(), new FailureDomain("z"),
					new ServiceName("plain"), Optional.empty(), 1, true);
			HopRequest request = new HopRequest(member.service(), member.service(), RequestClass.LOOKUP, true, false,
					true, new MeshRequest("r", "host", "GET", "/", List.of(), new byte[0], 5_000, OptionalInt.empty()));
			this.loop.keepAlive(true);
			Thread.ofPlatform().daemon().start(this.loop);
			this.loop.execute(() -> IntStream.range(0, OTHER_DAEMONS)
				.mapToObj((i) -> client(this.loop))
				.forEach((client) -> client.send(member, request, new Cancellation())));
			assertThat(this.allNoticesReceived.get(30, TimeUnit.SECONDS)).isTrue();
			assertThat(this.rowsMessages.get()).isAtMost(1 + this.versionNotices.get() / OTHER_DAEMONS);
		}
	}

	/**
	 * Guards against an instance that the others do not know for as long as it sends them
	 * no requests: they compared their rows only with each answer.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 0, 20, 60 })
	void aDaemonThatStaysBehindIsToldAlthoughItAnswersNoRequest(int busyMillis) throws Exception {
		CompletableFuture<KnownRows> told = new CompletableFuture<>();
		try (HopServerStandIn server = new HopServerStandIn((message) -> switch (message) {
			case HopMessage.Ping ignored ->
				List.of(new HopMessage.Pong(), new HopMessage.VersionsNotice(new KnownRows(4, 1)));
			case HopMessage.VersionsNotice(KnownRows versions) -> {
				told.complete(versions);
				yield List.of();
			}
			default -> List.of();
		})) {
			Member member = new Member(new InstanceId("other"), server.address(), new FailureDomain("z"),
					new ServiceName("plain"), Optional.empty(), 1, true);
			this.loop.keepAlive(true);
			Thread.ofPlatform().daemon().start(this.loop);
			this.loop.execute(() -> {
				client(this.loop).sendOneWay(member, new HopMessage.Ping());
				keepBusy(busyMillis);
			});
			assertThat(told.get(30, TimeUnit.SECONDS)).isEqualTo(new KnownRows(5, 0));
		}
	}

	// Makes each turn of the loop take this long, and its clock late by as much.
	private void keepBusy(int millis) {
		if (millis > 0) {
			LockSupport.parkNanos(Duration.ofMillis(millis).toNanos());
			this.loop.delay(1, () -> keepBusy(millis));
		}
	}

}
