package org.brasspier.daemon.internal.request;

import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.brasspier.core.retry.RetryBudget;
import org.brasspier.standins.FaultLink;
import org.brasspier.standins.FaultProxy;
import org.brasspier.standins.LinkState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class SilentLinkTests {

	/** Enough traffic to save twice the retries needed for a link silent for 400 ms. */
	private static final long TRAFFIC_SECONDS = 8;

	private static final int WAITING = 2 * RetryBudget.DEFAULT_MOST_SAVED;

	private final PathFixture fixture = new PathFixture();

	private final FaultProxy proxy = new FaultProxy();

	private PathFixture.Member entry;

	private PathFixture.Member owner;

	private FaultLink link;

	@BeforeEach
	void startTwoDaemons() throws Exception {
		this.entry = this.fixture.add("entry");
		this.owner = this.fixture.add("owner");
		this.link = this.proxy.link("forward", new InetSocketAddress("127.0.0.1", this.owner.forwardPort), 0);
		this.owner.forwardedThrough = this.link.address().getPort();
		this.fixture.owns(this.owner, 7);
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
		this.proxy.close();
	}

	// Guards against lookups that fail because each one that is pending on a silent
	// connection is charged to the retry budget.
	@Test
	void allLookupsPendingOnASilentLinkAreAnswered() throws Exception {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TRAFFIC_SECONDS);
		while (System.nanoTime() < end) {
			this.owner.announce("ready", true, WAITING);
			assertThat(lookup().get(20, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
			TimeUnit.MILLISECONDS.sleep(50);
		}
		this.link.silenceOpenConnections();
		List<CompletableFuture<HttpResponse<String>>> waiting = IntStream.range(0, WAITING)
			.mapToObj((i) -> lookup())
			.toList();
		for (CompletableFuture<HttpResponse<String>> answer : waiting) {
			assertThat(answer.get(20, TimeUnit.SECONDS).body()).isEqualTo("done /x ");
		}
	}

	// Guards against reporting a posting as possibly run although no owner could admit
	// it: its ticket is from an earlier owner, and its link broke.
	@Test
	void aPostingWithAStaleTicketIsNotReportedAsPossiblyRunWhenItsLinkBreaks() throws Exception {
		this.owner.announce("ready", true);
		String earlier = ticketOf(post());
		this.fixture.owns(this.owner, 8);
		this.link.silenceOpenConnections();
		HttpResponse<String> refused = post("Brasspier-Ticket", earlier);
		assertThat(refused.headers().firstValue("Brasspier-Error")).hasValue("TICKET_REQUIRED");
		assertThat(post("Brasspier-Ticket", ticketOf(refused)).body()).isEqualTo("done /bookings x");
		assertThat(this.owner.server.orders).hasSize(1);
	}

	// Guards against a posting that runs twice: its link broke, and its ticket is
	// valid.
	@Test
	void aPostingWithAValidTicketIsReportedAsPossiblyRunOnceItsOwnerHasChanged() throws Exception {
		this.owner.announce("ready", true);
		this.owner.server.behaviour = (exchange, body) -> {
			this.fixture.owns(this.owner, 8);
			this.link.silenceOpenConnections();
			FakeServer.answer(exchange, 200, "done");
		};
		HttpResponse<String> answer = post("Brasspier-Ticket", ticketOf(post()));
		assertThat(answer.headers().firstValue("Brasspier-Ran")).hasValue("unknown");
		assertThat(this.owner.server.orders).hasSize(1);
	}

	// Guards against a caller that gets no answer by its deadline and must assume that
	// its posting may have run, while the connection to the owner was still being
	// opened.
	@Test
	void aRequestIsAnsweredAtItsDeadlineWhileItsLinkIsStillOpening() throws Exception {
		this.owner.announce("ready", true);
		this.link.state(LinkState.HELD);
		HttpResponse<String> answer = post("Brasspier-Deadline-Millis", "200");
		assertThat(answer.headers().firstValue("Brasspier-Error")).hasValue("DEADLINE_PASSED");
		assertThat(answer.headers().firstValue("Brasspier-Ran")).hasValue("not_run");
	}

	private HttpResponse<String> post(String... more) throws Exception {
		String[] headers = { "Brasspier-Key", "hull-7", "Brasspier-Request-Id", "p-1", "Brasspier-Attempt", "1" };
		return this.entry.post("/v1/hullbook/bookings", "x",
				Stream.of(headers, more).flatMap(Stream::of).toArray(String[]::new));
	}

	private static String ticketOf(HttpResponse<String> answer) {
		return answer.headers().firstValue("Brasspier-Ticket").orElseThrow();
	}

	private CompletableFuture<HttpResponse<String>> lookup() {
		return this.entry.send("GET", "/v1/hullbook/x", "", "Brasspier-Key", "hull-7", "Brasspier-Deadline-Millis",
				"5000");
	}

}
