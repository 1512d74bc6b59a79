package org.brasspier.daemon.internal.request;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Each caller gets the complete answer to its own request and no data of other messages.
 */
class MixedMessagesTests {

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int READ_BUFFER_BYTES = 16_384;

	private static final int REQUESTS = 1000;

	/**
	 * Number of requests between announcements: a server that doesn't announce itself for
	 * 3.5 seconds counts as lost.
	 */
	private static final int ANNOUNCE_INTERVAL = 20;

	/** Number of concurrent requests, fewer than the slots of the server. */
	private static final int CONCURRENCY = 2;

	private final PathFixture fixture = new PathFixture();

	private PathFixture.Member a;

	@BeforeEach
	void startOneDaemon() throws Exception {
		this.a = this.fixture.add("a");
		this.fixture.owns(this.a, 7);
		this.a.announce("ready", true);
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	// Guards against corrupted header fields: under load a request with a body reached
	// its server without its key, or was refused for fields that its caller had sent.
	// The fields were in a buffer that had been returned to the library's pool together
	// with the body, and other threads read into it.
	@Test
	void headerFieldsAreNotOverwrittenByOtherThreads() throws Exception {
		this.a.server.behaviour = (exchange, body) -> {
			exchange.getResponseHeaders().set("X-Mine", exchange.getRequestHeaders().getFirst("X-Mine"));
			FakeServer.answer(exchange, 200, exchange.getRequestHeaders().getFirst("Brasspier-Key"));
		};
		AtomicBoolean stopped = new AtomicBoolean();
		List<Thread> readers = IntStream.range(0, 3)
			.mapToObj((i) -> Thread.ofPlatform().daemon().start(() -> readUntil(stopped)))
			.toList();
		for (int i = 0; i < REQUESTS; i += CONCURRENCY) {
			if (i % ANNOUNCE_INTERVAL == 0) {
				this.a.announce("ready", true);
			}
			sendConcurrently(i);
		}
		stopped.set(true);
		for (Thread reader : readers) {
			reader.join();
		}
	}

	private static void readUntil(AtomicBoolean stopped) {
		while (!stopped.get()) {
			ByteBuf buffer = ByteBufPool.allocate(READ_BUFFER_BYTES);
			Arrays.fill(buffer.array(), (byte) 'x');
			buffer.recycle();
		}
	}

	private void sendConcurrently(int from) throws Exception {
		List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
		for (int i = from; i < from + CONCURRENCY; i++) {
			sent.add(send(i));
		}
		for (int i = from; i < from + CONCURRENCY; i++) {
			HttpResponse<String> answer = sent.get(i - from).join();
			while (answer.statusCode() == SERVICE_UNAVAILABLE) {
				// On an overloaded machine the server may count as lost after 3.5
				// seconds.
				this.a.announce("ready", true);
				answer = send(i).join();
			}
			assertThat(answer.body()).isEqualTo("key-" + i);
			assertThat(answer.headers().firstValue("X-Mine")).hasValue("mine-" + i);
		}
	}

	private CompletableFuture<HttpResponse<String>> send(int i) {
		return this.a.send("POST", "/v1/hullbook/x", "body " + i, "Brasspier-Class", "lookup", "Brasspier-Key",
				"key-" + i, "X-Mine", "mine-" + i);
	}

	// Guards against relaying another caller's record: a backend server confuses two
	// answers, which shows in the request id that it returns.
	@Test
	void anAnswerThatNamesAnotherRequestIsNotRelayed() throws Exception {
		this.a.server.behaviour = (exchange, body) -> {
			exchange.getResponseHeaders().set("Brasspier-Request-Id", "somebody-elses");
			FakeServer.answer(exchange, 200, "another record");
		};
		HttpResponse<String> answer = this.a.get("/v1/hullbook/x", "Brasspier-Key", "k", "Brasspier-Request-Id",
				"mine");
		assertThat(answer.statusCode()).isEqualTo(502);
		assertThat(answer.headers().firstValue("Brasspier-Error")).hasValue("BAD_ANSWER");
		assertThat(answer.body()).doesNotContain("another record");
		assertThat(this.a.events.after(0).stream().map((event) -> event.kind().number()).toList()).contains(502);
	}

}
