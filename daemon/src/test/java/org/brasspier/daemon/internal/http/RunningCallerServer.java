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
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import org.brasspier.core.Failure;
import org.brasspier.core.mesh.CallerLimits;
import org.brasspier.core.request.Answer;
import org.brasspier.daemon.internal.request.Cancellation;
import org.brasspier.daemon.mesh.RawRequest;

/**
 * A server for callers on an event loop of its own, whose requests are answered only when
 * a test says so.
 */
final class RunningCallerServer implements CallerServer.Handler, AutoCloseable {

	private static final long AWAIT_MILLIS = 10_000;

	final AtomicInteger served = new AtomicInteger();

	final AtomicInteger cancelled = new AtomicInteger();

	private final AtomicBoolean failsNext = new AtomicBoolean();

	private final AtomicBoolean malformedExpected = new AtomicBoolean();

	private final AtomicBoolean failsOnMalformed = new AtomicBoolean();

	private final Queue<String> malformed = new ConcurrentLinkedQueue<>();

	private final AtomicReference<RawRequest> lastRequest = new AtomicReference<>();

	private final Eventloop loop = Eventloop.create();

	private final List<SettablePromise<Answer>> open = new ArrayList<>();

	private final InetSocketAddress address;

	private final BodyBudget bodies;

	private final CallerServer server;

	RunningCallerServer(Duration idleTimeout) throws IOException, InterruptedException {
		this(idleTimeout, 1 << 20);
	}

	RunningCallerServer(Duration idleTimeout, int bodyBytes) throws IOException, InterruptedException {
		CallerLimits limits = new CallerLimits(4096, 1 << 20, Duration.ofSeconds(30), idleTimeout);
		this.bodies = new BodyBudget(this.loop, bodyBytes);
		this.address = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
		this.server = new CallerServer(this.loop, this.address, this, () -> limits, this.bodies);
		this.loop.keepAlive(true);
		Thread.ofPlatform().daemon().start(this.loop);
		onLoop(() -> {
			try {
				this.server.listen();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		});
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return socket.getLocalPort();
		}
	}

	CallerServer server() {
		return this.server;
	}

	long heldBytes() {
		AtomicLong held = new AtomicLong();
		try {
			onLoop(() -> held.set(this.bodies.heldBytes()));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return held.get();
	}

	void execute(Runnable task) {
		this.loop.execute(task);
	}

	void onLoop(Runnable task) throws InterruptedException {
		CountDownLatch done = new CountDownLatch(1);
		this.loop.execute(() -> {
			task.run();
			done.countDown();
		});
		done.await();
	}

	static void await(String what, BooleanSupplier condition) throws InterruptedException {
		long until = System.currentTimeMillis() + AWAIT_MILLIS;
		while (!condition.getAsBoolean()) {
			if (System.currentTimeMillis() > until) {
				throw new AssertionError("timed out waiting until " + what);
			}
			Thread.sleep(5);
		}
	}

	Socket connect() throws IOException {
		Socket socket = new Socket(this.address.getAddress(), this.address.getPort());
		socket.setSoTimeout((int) AWAIT_MILLIS);
		return socket;
	}

	static void send(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
	}

	static String request(String version, String field) {
		return "GET /x HTTP/%s\r\nHost: h\r\n%s\r\n".formatted(version, field.isEmpty() ? "" : field + "\r\n");
	}

	@Override
	public Promise<Answer> serve(RawRequest request, Cancellation cancellation) {
		if (this.failsNext.getAndSet(false)) {
			throw new IllegalStateException("expected");
		}
		this.lastRequest.set(request);
		this.served.incrementAndGet();
		cancellation.addCancelListener(this.cancelled::incrementAndGet);
		SettablePromise<Answer> answer = new SettablePromise<>();
		this.open.add(answer);
		return answer;
	}

	RawRequest lastRequest() {
		return this.lastRequest.get();
	}

	/** Lets malformed input pass, which otherwise fails the test when it closes this. */
	void expectMalformed() {
		this.malformedExpected.set(true);
	}

	/** Lets malformed input pass, and makes the record of it fail. */
	void failOnMalformed() {
		expectMalformed();
		this.failsOnMalformed.set(true);
	}

	/** Makes the handling of the next request fail. */
	void failNext() {
		this.failsNext.set(true);
	}

	void answerAll() {
		answerAll(new byte[0]);
	}

	void answerAll(byte[] body) {
		List.copyOf(this.open).forEach((answer) -> answer.trySet(new Answer(200, List.of(), body)));
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
		this.malformed.add(detail);
		if (this.failsOnMalformed.get()) {
			throw new IllegalStateException("expected");
		}
	}

	@Override
	public void close() {
		this.loop.execute(this.loop::breakEventloop);
		// An exception in the event loop would not reach the test.
		if (!this.malformedExpected.get() && !this.malformed.isEmpty()) {
			throw new AssertionError("malformed input: " + this.malformed);
		}
	}

}
