package org.brasspier.daemon.internal.request;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;

import org.brasspier.core.document.Document;
import org.brasspier.core.document.FieldPath;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * A service that is not divided by key: the owner of the request id admits a request, and
 * any backend server may run it.
 */
class RequestsByIdTests {

	private final PathFixture fixture = new PathFixture();

	private PathFixture.Member a;

	private PathFixture.Member b;

	@BeforeEach
	void startTwoDaemons() throws Exception {
		this.fixture.catalog = Document.of(Map.of(new FieldPath("service/hullbook/divided-by-key"), "no")).catalog();
		this.a = this.fixture.add("a");
		this.b = this.fixture.add("b");
		this.fixture.owns(this.a, 7);
		this.a.announce("ready", true);
		this.b.announce("ready", true);
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	@Test
	void theOwnerOfTheIdLetsAnyServerRunTheRequest() throws Exception {
		for (int i = 0; i < 40; i++) {
			assertThat(this.b.get("/v1/hullbook/x", "Brasspier-Request-Id", "r" + i).statusCode()).isEqualTo(200);
		}
		assertThat(this.a.server.orders).isNotEmpty();
		assertThat(this.b.server.orders).isNotEmpty();
		assertThat(this.b.server.orders.getFirst().fence()).isEqualTo("7");
	}

	@Test
	void aPostingRunsOnceOnWhicheverServerHoweverOftenItIsSent() throws Exception {
		String ticket = this.b.post("/v1/hullbook/returns", "x", "Brasspier-Request-Id", "p-1")
			.headers()
			.firstValue("Brasspier-Ticket")
			.orElseThrow();
		for (PathFixture.Member entry : List.of(this.a, this.b, this.a, this.b)) {
			HttpResponse<String> answer = entry.post("/v1/hullbook/returns", "x", "Brasspier-Request-Id", "p-1",
					"Brasspier-Ticket", ticket);
			assertThat(answer.body()).isEqualTo("done /returns x");
		}
		assertThat(this.a.server.orders.size() + this.b.server.orders.size()).isEqualTo(1);
	}

	@Test
	void aPostingThatOneServerShedRunsOnAnother() throws Exception {
		// One server sheds every request and says so; the posting certainly did not run
		// there, so the owner's daemon sends it to the other server.
		this.a.server.behaviour = (exchange, body) -> {
			exchange.getResponseHeaders().add("Brasspier-Ran", "not_run");
			FakeServer.answer(exchange, 503, "shed");
		};
		for (int i = 0; i < 10; i++) {
			String id = "p-" + i;
			String ticket = this.b.post("/v1/hullbook/returns", "x", "Brasspier-Request-Id", id)
				.headers()
				.firstValue("Brasspier-Ticket")
				.orElseThrow();
			assertThat(this.b.post("/v1/hullbook/returns", "x", "Brasspier-Request-Id", id, "Brasspier-Ticket", ticket)
				.body()).isEqualTo("done /returns x");
		}
		assertThat(this.b.server.orders).hasSize(10);
	}

}
