package org.brasspier.daemon.internal.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import org.brasspier.core.Failure;
import org.brasspier.core.mesh.CallerLimits;
import org.brasspier.core.request.Answer;
import org.brasspier.daemon.internal.request.Cancellation;
import org.brasspier.daemon.mesh.RawRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class LeavingCallerTests {

	private static final int MAX_UNANSWERED = 16;

	private static final long AWAIT_MILLIS = 20_000;

	private static final CallerLimits LIMITS = new CallerLimits(4096, 100_000, Duration.ofSeconds(30),
			Duration.ofSeconds(30));

	private final Eventloop loop = Eventloop.create();

	private final PendingRequests requests = new PendingRequests();

	private CallerServer server;

	private InetSocketAddress address;

	private Thread thread;

	@BeforeEach
	void listen() throws Exception {
		this.address = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
		this.server = new CallerServer(this.loop, this.address, this.requests, () -> LIMITS);
		this.loop.keepAlive(true);
		this.thread = Thread.ofPlatform().daemon().start(this.loop);
		onLoop(() -> {
			try {
				this.server.listen();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		});
	}

	@AfterEach
	void stop() {
		this.loop.execute(this.loop::breakEventloop);
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return socket.getLocalPort();
		}
	}

	private void onLoop(Runnable task) throws InterruptedException {
		CountDownLatch done = new CountDownLatch(1);
		this.loop.execute(() -> {
			task.run();
			done.countDown();
		});
		done.await();
	}

	private static void await(String what, BooleanSupplier condition) throws InterruptedException {
		long until = System.currentTimeMillis() + AWAIT_MILLIS;
		while (!condition.getAsBoolean()) {
			if (System.currentTimeMillis() > until) {
				throw new AssertionError("timed out waiting until " + what);
			}
			Thread.sleep(5);
		}
	}

	private Socket connect() throws IOException {
		return new Socket(this.address.getAddress(), this.address.getPort());
	}

	private static void send(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
	}

	private static void leave(Socket socket, boolean reset) throws IOException {
		if (reset) {
			socket.setSoLinger(true, 0);
		}
		socket.close();
	}

	private static String request(String version, String field) {
		return "GET /x HTTP/%s\r\nHost: h\r\n%s\r\n".formatted(version, field.isEmpty() ? "" : field + "\r\n");
	}

	/**
	 * Guards against requests that run on for a caller that has left, since its
	 * connection is not read any more.
	 */
	@ParameterizedTest
	@CsvSource({ "1.1,'',1,false", "1.1,'',1,true", "1.1,Connection: close,1,false", "1.1,Connection: close,1,true",
			"1.0,'',1,false", "1.0,'',1,true", "1.1,'',15,false", "1.1,'',16,false", "1.1,'',16,true",
			"1.1,'',24,false", "1.1,'',200,false" })

	void allRequestsOfACallerThatLeavesAreCancelled(String version, String field, int count, boolean reset)
			throws Exception {
		int taken = Math.min(count, MAX_UNANSWERED);
		Socket caller = connect();
		send(caller, request(version, field).repeat(count));
		await("the requests are taken", () -> this.requests.served.get() == taken);
		leave(caller, reset);
		await("all are cancelled", () -> this.requests.cancelled.get() == taken);
		assertThat(this.requests.served.get()).isEqualTo(taken);
	}

	/**
	 * Guards against requests that are dispatched although their caller had left before
	 * they were read, which happens when this process is behind.
	 */
	@ParameterizedTest
	@CsvSource({ "'',false", "'',true", "Connection: close,false", "Connection: close,true" })

	void aRequestWhoseCallerLeftBeforeItWasReadIsNotServed(String field, boolean reset) throws Exception {
		CountDownLatch behind = new CountDownLatch(1);
		this.loop.execute(() -> {
			try {
				behind.await();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		Socket caller = connect();
		send(caller, request("1.1", field));
		leave(caller, reset);
		behind.countDown();
		Socket next = connect();
		send(next, request("1.1", ""));
		await("a later request is served", () -> this.requests.served.get() > 0);
		onLoop(() -> {
		});
		assertThat(this.requests.served.get()).isEqualTo(1);
		leave(next, false);
	}

	/** Guards against bytes behind the last request that are taken for a request. */
	@Test
	void bytesBehindTheLastRequestNeverBecomeARequest() throws Exception {
		try (Socket caller = connect()) {
			send(caller, request("1.1", "Connection: close") + request("1.1", "").repeat(3));
			await("the request is taken", () -> this.requests.served.get() == 1);
			send(caller, request("1.1", ""));
			onLoop(() -> this.requests.answerAll());
			String answers = new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
			assertThat(answers.split("HTTP/1.1 200", -1)).hasLength(2);
		}
		assertThat(this.requests.served.get()).isEqualTo(1);
	}

	/**
	 * Guards against a caller that sends without end behind its requests: it must neither
	 * fill the memory nor hide that it leaves.
	 */
	@ParameterizedTest
	@CsvSource({ "Connection: close,1", "'',16" })
	void aCallerThatSendsWithoutEndIsReadUntilItLeaves(String field, int taken) throws Exception {
		Socket caller = connect();
		send(caller, request("1.1", field).repeat(taken));
		await("the requests are taken", () -> this.requests.served.get() == taken);
		byte[] more = request("1.1", "").repeat(1000).getBytes(StandardCharsets.US_ASCII);
		for (int i = 0; i < 500; i++) {
			caller.getOutputStream().write(more);
		}
		leave(caller, false);
		await("all are cancelled", () -> this.requests.cancelled.get() == taken);
		assertThat(this.requests.served.get()).isEqualTo(taken);
	}

	/**
	 * Guards against requests that are answered twice or not at all if a caller sends too
	 * many before it reads: those that were parsed are answered, the last one closes the
	 * connection.
	 */
	@Test
	void aCallerThatSendsTooMuchAheadGetsTheAnswersToWhatWasParsed() throws Exception {
		try (Socket caller = connect()) {
			send(caller, request("1.1", "").repeat(10_000));
			await("the first requests are taken", () -> this.requests.served.get() == MAX_UNANSWERED);
			onLoop(() -> this.requests.answerAll());
			String answers = new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
			assertThat(answers.split("HTTP/1.1 200", -1)).hasLength(MAX_UNANSWERED + 1);
			assertThat(answers.split("Connection: close", -1)).hasLength(2);
		}
		assertThat(this.requests.served.get()).isEqualTo(MAX_UNANSWERED);
	}

	/**
	 * Guards against callers that shut down only their sending side and never get the
	 * answer to a request that ran.
	 */
	@Test
	void aCallerThatOnlyStopsSendingGetsTheAnswerOfWhatRan() throws Exception {
		try (Socket caller = connect()) {
			send(caller, request("1.1", ""));
			await("the request is taken", () -> this.requests.served.get() == 1);
			caller.shutdownOutput();
			await("it is cancelled", () -> this.requests.cancelled.get() == 1);
			onLoop(() -> this.requests.answerAll());
			String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
			assertThat(answer).startsWith("HTTP/1.1 200");
			assertThat(answer).contains("Connection: close");
		}
	}

	/**
	 * Requests that are answered only when a test says so.
	 */
	private static final class PendingRequests implements CallerServer.Handler {

		private final AtomicInteger served = new AtomicInteger();

		private final AtomicInteger cancelled = new AtomicInteger();

		private final List<SettablePromise<Answer>> open = new ArrayList<>();

		@Override
		public Promise<Answer> serve(RawRequest request, Cancellation cancellation) {
			this.served.incrementAndGet();
			cancellation.addCancelListener(this.cancelled::incrementAndGet);
			SettablePromise<Answer> answer = new SettablePromise<>();
			this.open.add(answer);
			return answer;
		}

		void answerAll() {
			List.copyOf(this.open).forEach((answer) -> answer.trySet(new Answer(200, List.of(), new byte[0])));
		}

		@Override
		public Answer failed(RawRequest request, Failure failure) {
			return new Answer(failure.kind().status(), List.of(), new byte[0]);
		}

		@Override
		public Answer abandoned(RawRequest request) {
			return new Answer(504, List.of(), new byte[0]);
		}

		@Override
		public void malformed(String detail) {
			throw new AssertionError(detail);
		}

	}

}
