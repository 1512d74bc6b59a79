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
 * Each caller gets the whole answer to its own request, and nothing of another message.
 */
class MixedMessagesTests {

	private static final int TURNED_AWAY = 503;

	private static final int READ_BUFFER = 16_384;

	private static final int REQUESTS = 1000;

	/** A server that doesn't announce itself for 3.5 seconds counts as lost. */
	private static final int ANNOUNCED_EACH = 20;

	/** Fewer than the server has slots. */
	private static final int TOGETHER = 2;

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

	// Under load a request with a body reached its server without its key, or was refused
	// for fields that its caller had sent. Its header fields lay in a buffer that was
	// given
	// back to the library's pool with the body, and other threads read into it.
	@Test
	void headerFieldsSurviveWhateverOtherThreadsRead() throws Exception {
		this.a.server.behaviour = (exchange, body) -> {
			exchange.getResponseHeaders().set("X-Mine", exchange.getRequestHeaders().getFirst("X-Mine"));
			FakeServer.answer(exchange, 200, exchange.getRequestHeaders().getFirst("Brasspier-Key"));
		};
		AtomicBoolean over = new AtomicBoolean();
		List<Thread> readers = IntStream.range(0, 3)
			.mapToObj((i) -> Thread.ofPlatform().daemon().start(() -> readUntil(over)))
			.toList();
		for (int i = 0; i < REQUESTS; i += TOGETHER) {
			if (i % ANNOUNCED_EACH == 0) {
				this.a.announce("ready", true);
			}
			askSome(i);
		}
		over.set(true);
		for (Thread reader : readers) {
			reader.join();
		}
	}

	private static void readUntil(AtomicBoolean over) {
		while (!over.get()) {
			ByteBuf buffer = ByteBufPool.allocate(READ_BUFFER);
			Arrays.fill(buffer.array(), (byte) 'x');
			buffer.recycle();
		}
	}

	private void askSome(int from) throws Exception {
		List<CompletableFuture<HttpResponse<String>>> asked = new ArrayList<>();
		for (int i = from; i < from + TOGETHER; i++) {
			asked.add(ask(i));
		}
		for (int i = from; i < from + TOGETHER; i++) {
			HttpResponse<String> answer = asked.get(i - from).join();
			while (answer.statusCode() == TURNED_AWAY) {
				// A machine with too much to do; it counts as lost after 3.5 seconds.
				this.a.announce("ready", true);
				answer = ask(i).join();
			}
			assertThat(answer.body()).isEqualTo("key-" + i);
			assertThat(answer.headers().firstValue("X-Mine")).hasValue("mine-" + i);
		}
	}

	private CompletableFuture<HttpResponse<String>> ask(int i) {
		return this.a.send("POST", "/v1/hullbook/x", "body " + i, "Brasspier-Class", "lookup", "Brasspier-Key",
				"key-" + i, "X-Mine", "mine-" + i);
	}

	// A backend server mixes two answers up. The daemon compares the id that it repeats,
	// and neither caller gets the other one's record.
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
