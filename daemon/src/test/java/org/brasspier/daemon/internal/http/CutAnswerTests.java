package org.brasspier.daemon.internal.http;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.activej.eventloop.Eventloop;
import org.brasspier.core.request.Answer;
import org.brasspier.core.request.HeaderField;
import org.brasspier.daemon.internal.exchange.ServerCall;
import org.brasspier.daemon.mesh.RawRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests with a server that breaks off behind each byte of an answer.
 */
class CutAnswerTests {

	private static final int MAX_BODY_BYTES = 1 << 20;

	private static final RawRequest LOOKUP = new RawRequest("GET", "/records/7", List.of(new HeaderField("Host", "h")),
			new byte[0]);

	private static final String HEAD = "HTTP/1.1 200 OK\r\nRequest: a\r\n";

	/** Without a length, which the end of the connection gives. */
	private static final String UNFRAMED = "HTTP/1.1 200 OK\r\nRequest: a\r\nConnection: close\r\n\r\n";

	private static final List<String> ANSWERS = List.of(HEAD + "Content-Length: 11\r\n\r\nhello world",
			HEAD + "Content-Length: 0\r\n\r\n",
			HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n",
			HEAD + "Transfer-Encoding: chunked\r\n\r\nb\r\nhello world\r\n0\r\nTrailer: t\r\n\r\n",
			"HTTP/1.1 100 Continue\r\n\r\n" + HEAD + "Content-Length: 11\r\n\r\nhello world",
			"HTTP/1.1 200 OK\nRequest: a\nContent-Length: 11\n\nhello world",
			"HTTP/1.0 200 OK\r\nRequest: a\r\nContent-Length: 11\r\n\r\nhello world", UNFRAMED + "hello world");

	private static final String LAST_CHUNK = "\r\n0\r\n";

	private final Eventloop loop = Eventloop.create();

	private final AtomicInteger bytes = new AtomicInteger();

	private ScriptedServer server;

	private BackendPool pool;

	static Stream<Arguments> cuts() {
		return ANSWERS.stream().flatMap((answer) -> Stream.of(true, false).map((reset) -> Arguments.of(answer, reset)));
	}

	private void serve(String answer, boolean reset) throws IOException {
		this.server = new ScriptedServer((connection) -> {
			connection.read();
			connection.write(answer.substring(0, this.bytes.get()));
			connection.socket().setSoLinger(reset, 0);
		});
		this.pool = new BackendPool(this.loop, this.server.address(), new BodyBudget(this.loop, MAX_BODY_BYTES),
				new ServerConnections());
		this.loop.keepAlive(true);
		Thread.ofPlatform().daemon().start(this.loop);
	}

	@AfterEach
	void stop() throws IOException {
		this.loop.execute(this.loop::breakEventloop);
		this.server.close();
	}

	private BackendReply exchange(int sentBytes) {
		this.bytes.set(sentBytes);
		CompletableFuture<BackendReply> reply = new CompletableFuture<>();
		ServerCall call = ServerCall.unidentified(LOOKUP, true);
		this.loop.execute(() -> this.pool.run(call, () -> true).reply().whenResult(reply::complete));
		return reply.orTimeout(30, TimeUnit.SECONDS).join();
	}

	// An answer without a length is whole wherever its connection ends behind the head;
	// one in chunks is with the last chunk, whatever follows (RFC 9112, section 8).
	private static int lengthUntilWhole(String answer) {
		if (answer.startsWith(UNFRAMED)) {
			return UNFRAMED.length();
		}
		int lastChunk = answer.indexOf(LAST_CHUNK);
		return (lastChunk >= 0) ? lastChunk + LAST_CHUNK.length() : answer.length();
	}

	/**
	 * Guards against an answer whose head or body was cut off and that is passed on as
	 * whole, with an empty or a short body.
	 */
	@ParameterizedTest
	@MethodSource("cuts")
	void anAnswerThatIsCutIsNotTakenForWhole(String answer, boolean reset) throws Exception {
		serve(answer, reset);
		int checked = lengthUntilWhole(answer);
		assertThat(IntStream.range(0, checked)
			.filter((sentBytes) -> exchange(sentBytes) instanceof BackendReply.Whole)
			.boxed()
			.toList()).isEmpty();
	}

	/**
	 * Guards against a whole answer that is lost since its connection closes behind it.
	 */
	@ParameterizedTest
	@MethodSource("cuts")
	void anAnswerThatIsWholeIsTakenThoughItsConnectionCloses(String answer, boolean reset) throws Exception {
		serve(answer, false);
		BackendReply reply = exchange(answer.length());
		assertThat(reply).isInstanceOf(BackendReply.Whole.class);
		Answer taken = ((BackendReply.Whole) reply).answer();
		assertThat(new String(taken.body())).isEqualTo(answer.contains("Content-Length: 0") ? "" : "hello world");
	}

}
