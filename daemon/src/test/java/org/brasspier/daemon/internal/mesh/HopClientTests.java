package org.brasspier.daemon.internal.mesh;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

import com.codahale.metrics.MetricRegistry;
import com.google.common.primitives.Bytes;
import io.activej.eventloop.Eventloop;
import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;
import org.brasspier.core.RequestClass;
import org.brasspier.core.ServiceName;
import org.brasspier.core.crash.CrashState;
import org.brasspier.core.keys.PromiseMark;
import org.brasspier.core.mesh.SendOutcome;
import org.brasspier.daemon.internal.evacuation.EvacuationRows;
import org.brasspier.daemon.internal.request.Cancellation;
import org.brasspier.daemon.mesh.ConfigSource;
import org.brasspier.daemon.mesh.MeshRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class HopClientTests {

	private static final PromiseMark MARK = new PromiseMark(1, 1);

	private static final InstanceId OTHER = new InstanceId("other");

	private final Eventloop loop = Eventloop.create();

	// A client that still runs goes on connecting to the port of its lost server, which
	// may be that of another test by then.
	@AfterEach
	void stop() {
		this.loop.execute(this.loop::breakEventloop);
	}

	private HopClient client() {
		MeshLog log = new MeshLog(new InstanceId("self"), new MetricRegistry());
		ConfigSource none = new ConfigSourceStandIn((value) -> 0);
		EvacuationRows evacuations = new EvacuationRows(none);
		return new HopClient(this.loop,
				new SharedRows(new ConfigHolder(none, log), evacuations, new Directory(evacuations, log), log));
	}

	/**
	 * Guards against requests sent to a lost instance. Its connections stay open but
	 * nothing is received on them; requests were sent there, and held up, for the full
	 * 400 ms until the connection was closed, although two pings were unanswered after
	 * half that time.
	 */
	@Test
	void aSilentInstanceIsAvoidedBeforeItsConnectionIsClosed() throws Exception {
		try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			HopClient client = client();
			Member member = new Member(OTHER, (InetSocketAddress) silent.getLocalSocketAddress(),
					new FailureDomain("z"), new ServiceName("keyed"), Optional.empty(), 1, true);
			CompletableFuture<Boolean> avoidedWhileOpen = new CompletableFuture<>();
			this.loop.keepAlive(true);
			// Open connections keep the event loop running; its daemon thread ends with
			// the JVM.
			Thread.ofPlatform().daemon().start(this.loop);
			this.loop.execute(() -> {
				Predicate<InstanceId> avoided = (instance) -> client.shouldAvoid(instance, System.nanoTime());
				client.requestPromise(member, new InstanceId("self"), 1, MARK)
					.whenResult(() -> avoidedWhileOpen.complete(false));
				pollUntil(avoided, avoidedWhileOpen);
			});
			assertThat(avoidedWhileOpen.get(30, TimeUnit.SECONDS)).isTrue();
		}
	}

	/**
	 * Guards against a daemon that gets no requests after a planned restart. It had
	 * announced that it was leaving, and the others remembered that for as long as they
	 * ran: its backend server stayed idle while the others of its service rejected a
	 * third of the lookups.
	 */
	@Test
	void aRestartedDaemonIsNoLongerAvoided() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			CompletableFuture.runAsync(() -> sayLeavingAndClose(server));
			HopClient client = client();
			Member member = new Member(OTHER, (InetSocketAddress) server.getLocalSocketAddress(),
					new FailureDomain("z"), new ServiceName("keyed"), Optional.empty(), 1, true);
			CompletableFuture<Boolean> avoidedAtFirst = new CompletableFuture<>();
			CompletableFuture<Boolean> noLonger = new CompletableFuture<>();
			this.loop.keepAlive(true);
			// Open connections keep the event loop running; its daemon thread ends with
			// the JVM.
			Thread.ofPlatform().daemon().start(this.loop);
			this.loop.execute(() -> client.requestPromise(member, new InstanceId("self"), 1, MARK).whenResult(() -> {
				avoidedAtFirst.complete(client.shouldAvoid(OTHER, System.nanoTime()));
				pollUntil((instance) -> !client.shouldAvoid(instance, System.nanoTime()), noLonger);
			}));
			assertThat(avoidedAtFirst.get(30, TimeUnit.SECONDS)).isTrue();
			assertThat(noLonger.get(30, TimeUnit.SECONDS)).isTrue();
		}
	}

	/**
	 * Guards against requests lost on a frozen machine. It accepts connections for twelve
	 * seconds and never answers; every half second some fifty requests were sent on a new
	 * connection and lost. Its daemon must get no requests until it has answered a probe.
	 */
	@Test
	void aLostDaemonIsAvoidedUntilItAnswersAProbe() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
			AtomicInteger silent = new AtomicInteger();
			CompletableFuture.runAsync(() -> staySilentFor(server, 3, silent));
			HopClient client = client();
			Member member = new Member(OTHER, (InetSocketAddress) server.getLocalSocketAddress(),
					new FailureDomain("z"), new ServiceName("keyed"), Optional.empty(), 1, true);
			CompletableFuture<Integer> silentBefore = new CompletableFuture<>();
			CompletableFuture<Boolean> available = new CompletableFuture<>();
			this.loop.keepAlive(true);
			// Open connections keep the event loop running; its daemon thread ends with
			// the JVM.
			Thread.ofPlatform().daemon().start(this.loop);
			this.loop.execute(() -> client.requestPromise(member, new InstanceId("self"), 1, MARK).whenResult(() -> {
				available.thenRun(() -> silentBefore.complete(silent.get()));
				pollUntil((instance) -> !client.shouldAvoid(instance, System.nanoTime()), available);
			}));
			assertThat(silentBefore.get(30, TimeUnit.SECONDS)).isEqualTo(3);
		}
	}

	// Guards against a request that is sent after its deadline: the time spent opening
	// the connection was not subtracted from its remaining time.
	@Test
	void aRequestWhoseConnectionOpensAfterItsDeadlineIsNotSent() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			HopClient client = client();
			Member member = new Member(OTHER, (InetSocketAddress) server.getLocalSocketAddress(),
					new FailureDomain("z"), new ServiceName("keyed"), Optional.empty(), 1, true);
			MeshRequest request = new MeshRequest("r-1", "host", "GET", "/", List.of(), new byte[0], 1,
					OptionalInt.empty());
			HopRequest hopRequest = new HopRequest(member.service(), member.service(), RequestClass.LOOKUP, true, false,
					true, request);
			CompletableFuture<SendOutcome> outcome = new CompletableFuture<>();
			this.loop.keepAlive(true);
			Thread.ofPlatform().daemon().start(this.loop);
			this.loop.execute(() -> {
				client.send(member, hopRequest, new Cancellation()).whenResult(outcome::complete);
				// Counted from after the call, which reads the clock: the deadline has
				// certainly passed when the connection opens.
				long startNanos = System.nanoTime();
				while (System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(5)) {
					Thread.onSpinWait();
				}
			});
			assertThat(outcome.get(30, TimeUnit.SECONDS)).isInstanceOf(SendOutcome.NotRun.class);
		}
	}

	/**
	 * Guards against a daemon that never learns of a crash, because the connection on
	 * which it was told was lost while the store was unavailable too.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void aReplicatedStateIsSentAgainAfterItsConnectionWasLost(boolean answersFirst) throws Exception {
		try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
			HopMessage.CrashUpdate state = new HopMessage.CrashUpdate(new InstanceId("self"),
					new CrashState(List.of(), Set.of(), Set.of(7L)));
			CompletableFuture<Boolean> received = CompletableFuture
				.supplyAsync(() -> receivesAfterLostConnection(server, answersFirst, HopCodec.encode(state)));
			HopClient client = client();
			Member member = new Member(OTHER, (InetSocketAddress) server.getLocalSocketAddress(),
					new FailureDomain("z"), new ServiceName("keyed"), Optional.empty(), 1, true);
			this.loop.keepAlive(true);
			Thread.ofPlatform().daemon().start(this.loop);
			this.loop.execute(() -> {
				client.setReplicatedState(Optional.of(state));
				replicatePeriodically(client, member);
			});
			assertThat(received.get(30, TimeUnit.SECONDS)).isTrue();
		}
	}

	private void replicatePeriodically(HopClient client, Member member) {
		client.replicateTo(member);
		this.loop.delayBackground(50L, () -> replicatePeriodically(client, member));
	}

	// Closes the first connection and waits until the message is received on the second
	// one.
	private static boolean receivesAfterLostConnection(ServerSocket server, boolean answersFirst, byte[] message) {
		try {
			try (Socket lost = server.accept()) {
				if (answersFirst) {
					lost.getOutputStream().write(HopCodec.encode(new HopMessage.Pong(true, false)));
				}
				lost.getInputStream().read();
			}
			try (Socket socket = server.accept()) {
				socket.setSoTimeout(10_000);
				socket.getOutputStream().write(HopCodec.encode(new HopMessage.Pong(true, false)));
				byte[] received = new byte[0];
				while (Bytes.indexOf(received, message) < 0) {
					int next = socket.getInputStream().read();
					if (next < 0) {
						return false;
					}
					received = Bytes.concat(received, new byte[] { (byte) next });
				}
				return true;
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	// Accepts some connections and sends nothing until they are closed, then answers one.
	private static void staySilentFor(ServerSocket server, int connections, AtomicInteger silent) {
		try {
			while (silent.get() < connections) {
				try (Socket socket = server.accept()) {
					silent.incrementAndGet();
					socket.getInputStream().transferTo(OutputStream.nullOutputStream());
				}
			}
			Socket answered = server.accept();
			answered.getInputStream().read();
			answered.getOutputStream().write(HopCodec.encode(new HopMessage.Pong()));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static void sayLeavingAndClose(ServerSocket server) {
		try (Socket socket = server.accept()) {
			socket.getOutputStream().write(HopCodec.encode(new HopMessage.Leaving()));
			socket.shutdownOutput();
			Socket next = server.accept();
			next.getInputStream().read();
			next.getOutputStream().write(HopCodec.encode(new HopMessage.Pong()));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void pollUntil(Predicate<InstanceId> condition, CompletableFuture<Boolean> result) {
		if (condition.test(OTHER)) {
			result.complete(true);
		}
		else if (!result.isDone()) {
			this.loop.delay(5L, () -> pollUntil(condition, result));
		}
	}

}
