package org.brasspier.daemon.internal.http;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.activej.eventloop.Eventloop;
import org.brasspier.core.request.HeaderField;
import org.brasspier.daemon.internal.exchange.ServerCall;
import org.brasspier.daemon.mesh.RawRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests with a backend server that sends bytes until its connection is closed.
 */
class AnswersWithoutEndTests {

	private static final int MAX_BODY_BYTES = 1 << 20;

	/**
	 * What may have been sent by the time the connection is closed: the largest body, and
	 * what the sockets of both ends hold.
	 */
	private static final long MAX_SENT_BYTES = 16L << 20;

	/** More than half of the budget. */
	private static final int LARGE_BYTES = 700_000;

	private static final Duration PAUSE = Duration.ofMillis(20);

	private static final RawRequest LOOKUP = new RawRequest("GET", "/records/7", List.of(new HeaderField("Host", "h")),
			new byte[0]);

	private static final RawRequest EARLIER = new RawRequest("GET", "/earlier", LOOKUP.headers(), new byte[0]);

	private final Eventloop loop = Eventloop.create();

	private final AtomicLong sentBytes = new AtomicLong();

	private final CompletableFuture<Void> closed = new CompletableFuture<>();

	private final BodyBudget bodies = new BodyBudget(this.loop, MAX_BODY_BYTES);

	private ServerSocket server;

	private BackendPool pool;

	@BeforeEach
	void start() throws IOException {
		this.server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
		this.pool = new BackendPool(this.loop, (InetSocketAddress) this.server.getLocalSocketAddress(), this.bodies,
				new ServerConnections());
		this.loop.keepAlive(true);
		Thread.ofPlatform().daemon().start(this.loop);
	}

	@AfterEach
	void stop() throws IOException {
		this.loop.execute(this.loop::breakEventloop);
		this.server.close();
	}

	private void answerOnce(String beginning, String repeated, Duration pause) {
		byte[] bytes = repeated.getBytes(StandardCharsets.ISO_8859_1);
		try (Socket socket = this.server.accept()) {
			OutputStream out = socket.getOutputStream();
			byte[] request = new byte[4096];
			int read = socket.getInputStream().read(request);
			if (new String(request, 0, read, StandardCharsets.ISO_8859_1).contains(EARLIER.target())) {
				out.write(ScriptedServer.answer(200, "earlier", "").getBytes(StandardCharsets.ISO_8859_1));
				socket.getInputStream().read(request);
			}
			out.write(beginning.getBytes(StandardCharsets.ISO_8859_1));
			while (this.sentBytes.get() <= 4 * MAX_SENT_BYTES) {
				out.write(bytes);
				this.sentBytes.addAndGet(bytes.length);
				Thread.sleep(pause);
			}
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
		catch (IOException ex) {
			this.closed.complete(null);
		}
	}

	// Sends a request, behind an earlier one on its connection if further answers to that
	// one are to come.
	private void send(boolean behindEarlier, Consumer<BackendPool.BackendRun> begun) {
		ServerCall call = ServerCall.withoutId(LOOKUP, true, ScriptedServer::identity, (answer) -> true);
		if (!behindEarlier) {
			begun.accept(this.pool.run(call, () -> true));
			return;
		}
		this.pool.run(ServerCall.withId(EARLIER, "earlier", true, ScriptedServer::identity), () -> true)
			.reply()
			.whenResult((earlier) -> begun.accept(this.pool.run(call, () -> true)));
	}

	private CompletableFuture<BackendReply> exchange(String beginning, String repeated, Duration pause) {
		Thread.ofPlatform().daemon().start(() -> answerOnce(beginning, repeated, pause));
		CompletableFuture<BackendReply> reply = new CompletableFuture<>();
		this.loop
			.execute(() -> send(Endless.isBehindEarlier(repeated), (run) -> run.reply().whenResult(reply::complete)));
		return reply;
	}

	private void serveOne() {
		try (Socket socket = this.server.accept()) {
			socket.getInputStream().read(new byte[4096]);
			socket.getOutputStream()
				.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII));
			socket.getInputStream().read();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/** Guards against an answer that fills the memory while it is read on. */
	@ParameterizedTest
	@EnumSource
	void anAnswerWithoutEndIsGivenUpAtItsLimit(Endless endless) throws Exception {
		BackendReply reply = exchange(endless.beginning, endless.repeated(), Duration.ZERO).get(30, TimeUnit.SECONDS);
		assertThat(reply).isInstanceOf(BackendReply.Garbled.class);
		this.closed.get(30, TimeUnit.SECONDS);
		assertThat(this.sentBytes.get()).isAtMost(MAX_SENT_BYTES);
	}

	/**
	 * Guards against answers without end that are each within the limit of one answer and
	 * take up the memory together.
	 */
	@Test
	void answersWithoutEndAtOnceShareOneLimit() throws Exception {
		List<CompletableFuture<BackendReply>> replies = new ArrayList<>();
		for (int i = 0; i < 6; i++) {
			replies.add(exchange("HTTP/1.1 200 OK\r\n\r\n", "x".repeat(8192), Duration.ofMillis(1)));
		}
		AtomicLong most = new AtomicLong();
		while (!replies.stream().allMatch(CompletableFuture::isDone)) {
			this.loop.execute(() -> most.accumulateAndGet(this.bodies.heldBytes(), Math::max));
			Thread.sleep(1);
		}
		for (CompletableFuture<BackendReply> reply : replies) {
			assertThat(reply.get()).isInstanceOf(BackendReply.Garbled.class);
		}
		assertThat(most.get()).isGreaterThan(MAX_BODY_BYTES / 2L);
		assertThat(most.get()).isAtMost(MAX_BODY_BYTES * 3L / 2);
		CompletableFuture<Long> held = new CompletableFuture<>();
		this.loop.execute(() -> held.complete(this.bodies.heldBytes()));
		assertThat(held.get()).isEqualTo(0);
	}

	/**
	 * Guards against sound answers that are given up, or use up the memory, since they
	 * come at once.
	 */
	@Test
	void largeAnswersAtOnceWaitForEachOther() throws Exception {
		List<CompletableFuture<BackendReply>> replies = new ArrayList<>();
		for (int i = 0; i < 6; i++) {
			replies.add(
					exchange("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n".formatted(LARGE_BYTES)
							+ "x".repeat(LARGE_BYTES), "", PAUSE));
		}
		for (CompletableFuture<BackendReply> reply : replies) {
			assertThat(reply.get(30, TimeUnit.SECONDS)).isInstanceOf(BackendReply.Whole.class);
		}
	}

	/** Guards against a connection that is read on after a complete answer. */
	@Test
	void bytesWithoutEndBehindAnAnswerCloseTheConnection() throws Exception {
		BackendReply reply = exchange("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "x".repeat(8192), Duration.ZERO)
			.get(30, TimeUnit.SECONDS);
		assertThat(reply).isInstanceOf(BackendReply.Whole.class);
		this.closed.get(30, TimeUnit.SECONDS);
		assertThat(this.sentBytes.get()).isAtMost(MAX_SENT_BYTES);
	}

	/** Guards against a slow answer that holds its slot beyond the deadline. */
	@ParameterizedTest
	@EnumSource
	void anAnswerThatComesSlowlyWithoutEndEndsWhenItIsGivenUp(Endless endless) throws Exception {
		Thread.ofPlatform().daemon().start(() -> answerOnce(endless.beginning, endless.piece, PAUSE));
		CompletableFuture<BackendReply> reply = new CompletableFuture<>();
		this.loop.execute(() -> send(Endless.isBehindEarlier(endless.piece), (run) -> {
			run.reply().whenResult(reply::complete);
			this.loop.delay(PAUSE.multipliedBy(10), run::giveUp);
		}));
		// A length that no memory can hold is not waited for.
		Class<? extends BackendReply> end = (endless == Endless.BODY_OF_LARGE_LENGTH) ? BackendReply.Garbled.class
				: BackendReply.GivenUp.class;
		assertThat(reply.get(30, TimeUnit.SECONDS)).isInstanceOf(end);
		this.closed.get(30, TimeUnit.SECONDS);
	}

	/** Guards against a pool that serves nothing more after an answer without end. */
	@ParameterizedTest
	@EnumSource
	void theNextRequestIsServedAfterAnAnswerWithoutEnd(Endless endless) throws Exception {
		exchange(endless.beginning, endless.repeated(), Duration.ZERO).get(30, TimeUnit.SECONDS);
		this.closed.get(30, TimeUnit.SECONDS);
		Thread.ofPlatform().daemon().start(this::serveOne);
		CompletableFuture<BackendReply> next = new CompletableFuture<>();
		this.loop.execute(
				() -> this.pool.run(LOOKUP, true, (answer) -> true, () -> true).reply().whenResult(next::complete));
		assertThat(next.get(30, TimeUnit.SECONDS)).isInstanceOf(BackendReply.Whole.class);
	}

	/**
	 * Answers whose beginning is followed by the same piece again and again.
	 */
	enum Endless {

		HEADER_LINES("HTTP/1.1 200 OK\r\n", "X-More: more\r\n"),

		HEADER_LINE("HTTP/1.1 200 OK\r\nX-More: ", "more"),

		HEADER_NAME("HTTP/1.1 200 OK\r\nX-", "more"),

		REASON_PHRASE("HTTP/1.1 200 ", "more"),

		EMPTY_LINES("", "\r\n"),

		INTERIM_ANSWERS("", "HTTP/1.1 103 Early Hints\r\n\r\n"),

		ANSWERS_TO_OTHERS("", "HTTP/1.1 203 Other\r\nRequest: earlier\r\nContent-Length: 4\r\n\r\nmore"),

		CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + "m".repeat(1024) + "\r\n"),

		SMALL_CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nm\r\n"),

		CHUNK_EXTENSION("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "more"),

		CHUNK_SIZE("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),

		TRAILERS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: more\r\n"),

		BODY_WITHOUT_LENGTH("HTTP/1.1 200 OK\r\n\r\n", "more"),

		BODY_OF_LARGE_LENGTH("HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", "more");

		private static final int PIECE_BYTES = 8192;

		private final String beginning;

		private final String piece;

		Endless(String beginning, String piece) {
			this.beginning = beginning;
			this.piece = piece;
		}

		static boolean isBehindEarlier(String repeated) {
			return repeated.startsWith(ANSWERS_TO_OTHERS.piece);
		}

		String repeated() {
			return this.piece.repeat(Math.max(1, PIECE_BYTES / this.piece.length()));
		}

	}

}
