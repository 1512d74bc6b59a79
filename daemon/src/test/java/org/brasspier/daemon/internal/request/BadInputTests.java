package org.brasspier.daemon.internal.request;

import java.net.http.HttpResponse;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Malformed input leads to an error of a documented kind, a counter and a numbered event,
 * and does not affect other requests.
 */
class BadInputTests {

	private static final int BAD_CALLER_INPUT = 304;

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

	@Test
	void eachMalformedFieldIsABadRequest() throws Exception {
		List<String[]> wrong = List.of(new String[] { "Brasspier-Class", "LOOKUP" },
				new String[] { "Brasspier-Deadline-Millis", "0" },
				new String[] { "Brasspier-Deadline-Millis", "600001" },
				new String[] { "Brasspier-Deadline-Millis", "soon" }, new String[] { "Brasspier-Caller", "a b" },
				new String[] { "Brasspier-Request-Id", "a b" }, new String[] { "Brasspier-Ticket", "forged" },
				new String[] { "Brasspier-Attempt", "-1" }, new String[] { "Brasspier-Key", "k".repeat(257) });
		for (String[] field : wrong) {
			HttpResponse<String> answer = this.a.get("/v1/hullbook/x", field);
			assertThat(answer.statusCode()).isEqualTo(400);
			assertThat(answer.headers().firstValue("Brasspier-Error")).hasValue("BAD_REQUEST");
			assertThat(answer.headers().firstValue("Brasspier-Ran")).hasValue("not_run");
			assertThat(answer.body()).contains("\"error\":\"BAD_REQUEST\"");
		}
		assertThat(this.a.count("requests.failed.BAD_REQUEST")).isEqualTo(wrong.size());
		assertStillServes(wrong.size());
	}

	@Test
	void aPostingWithoutAnIdAndAnUnknownPathAreBadRequests() throws Exception {
		assertThat(this.a.post("/v1/hullbook/x", "b", "Brasspier-Key", "k").statusCode()).isEqualTo(400);
		assertThat(this.a.get("/v2/hullbook/x").statusCode()).isEqualTo(400);
		assertThat(this.a.get("/v1/hull%20book/x").statusCode()).isEqualTo(400);
		assertStillServes(3);
	}

	@Test
	void malformedPathsOccupyNoSlotAndAffectNoOtherRequest() throws Exception {
		// The server has four slots; a larger number of malformed requests must not
		// occupy them.
		for (String path : List.of("/v1/hullbook/%zz", "/v1/hullbook/x?%", "/v1/hullbook/\u00e4", "/v1/hullbook//",
				"/v1/hullbook?x=1", "/v1/hullbook/#f", "/v1/hullbook/[", "/v1/hullbook/x?a=b&&=c", "//v1/hullbook/x")) {
			try (RawCaller caller = new RawCaller(this.a.callerPort)) {
				caller.send("GET " + path + " HTTP/1.1\r\nHost: x\r\nBrasspier-Key: k\r\nConnection: close\r\n\r\n");
				assertThat(caller.readAll()).startsWith("HTTP/1.1 ");
			}
		}
		assertStillServes(0);
	}

	@Test
	void aBodyBeyondTheLimitIsRefusedWithoutReadingIt() throws Exception {
		try (RawCaller caller = new RawCaller(this.a.callerPort)) {
			caller.send("POST /v1/hullbook/x HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n");
			assertThat(caller.readSome()).startsWith("HTTP/1.1 413");
		}
		assertStillServes(1);
	}

	@Test
	void aChunkedBodyBeyondTheLimitIsRefusedToo() throws Exception {
		try (RawCaller caller = new RawCaller(this.a.callerPort)) {
			caller.send("POST /v1/hullbook/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n200000\r\n");
			caller.send(new byte[0x200000]);
			caller.send("\r\n0\r\n\r\n");
			assertThat(caller.readSome()).startsWith("HTTP/1.1 413");
		}
		assertStillServes(1);
	}

	@Test
	void bytesThatAreNotHttpAreAnsweredWithABare400AndCounted() throws Exception {
		try (RawCaller caller = new RawCaller(this.a.callerPort)) {
			caller.send("\u0016\u0003\u0001 this is no HTTP\r\n\r\n");
			assertThat(caller.readAll()).startsWith("HTTP/1.1 400");
		}
		assertThat(this.a.count("callers.malformed")).isEqualTo(1);
		assertStillServes(1);
	}

	@Test
	void aHalfOpenConnectionIsClosed() throws Exception {
		try (RawCaller caller = new RawCaller(this.a.callerPort)) {
			caller.send("GET /v1/hullb");
			assertThat(caller.readAll()).isEmpty();
		}
		assertStillServes(0);
	}

	@Test
	void aPeerWithoutTheSharedKeyIsRefused() throws Exception {
		try (RawCaller peer = new RawCaller(this.a.forwardPort)) {
			peer.send(new byte[] { 0, 0, 0, 3, 1, 2, 3 });
			peer.readAll();
		}
		try (RawCaller peer = new RawCaller(this.a.forwardPort)) {
			peer.send(new byte[] { 127, 0, 0, 0, 0 });
			peer.readAll();
		}
		PathFixture.await(() -> this.a.count("peers.refused") == 2);
		assertStillServes(0);
	}

	@Test
	void aMalformedAnnouncementIsRefused() throws Exception {
		assertThat(this.a.announce("dancing", true)).contains("BAD_REQUEST");
		assertThat(this.a.count("backend.malformed")).isEqualTo(1);
		assertStillServes(0);
	}

	@Test
	void aTruncatedAnswerIsNotRelayed() throws Exception {
		// The backend server announces ten bytes, sends four and closes. A caller must
		// not mistake a truncated record for a complete one.
		this.a.server.behaviour = (exchange, body) -> {
			exchange.sendResponseHeaders(200, 10);
			exchange.getResponseBody().write(new byte[] { 'h', 'a', 'l', 'f' });
			exchange.getResponseBody().flush();
			exchange.close();
		};
		HttpResponse<String> answer = this.a.get("/v1/hullbook/x", "Brasspier-Key", "k");
		assertThat(answer.statusCode()).isEqualTo(502);
		assertThat(answer.headers().firstValue("Brasspier-Error")).hasValue("BAD_ANSWER");
		assertThat(answer.headers().firstValue("Brasspier-Ran")).hasValue("unknown");
	}

	@Test
	void anAnswerThatIsTooLargeIsNotRelayed() throws Exception {
		this.a.server.behaviour = (exchange, body) -> {
			exchange.sendResponseHeaders(200, 0);
			exchange.getResponseBody().write(new byte[2 << 20]);
			exchange.close();
		};
		HttpResponse<String> answer = this.a.get("/v1/hullbook/x", "Brasspier-Key", "k");
		assertThat(answer.headers().firstValue("Brasspier-Error")).hasValue("BAD_ANSWER");
	}

	private void assertStillServes(int badInputs) throws Exception {
		this.a.announce("ready", true);
		assertThat(this.a.get("/v1/hullbook/x", "Brasspier-Key", "k").statusCode()).isEqualTo(200);
		PathFixture.await(() -> this.a.events.after(0)
			.stream()
			.filter((event) -> event.kind().number() == BAD_CALLER_INPUT)
			.count() >= badInputs);
	}

}
