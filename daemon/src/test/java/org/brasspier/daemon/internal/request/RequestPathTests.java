package org.brasspier.daemon.internal.request;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.brasspier.core.Fence;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ownership.HeldRange;
import org.brasspier.core.ownership.MarkedRange;
import org.brasspier.daemon.internal.ownership.RequestsOrder;
import org.brasspier.daemon.internal.ownership.RequestsReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class RequestPathTests {

	private final PathFixture fixture = new PathFixture();

	private PathFixture.Member a;

	private PathFixture.Member b;

	private String ticket = "";

	@BeforeEach
	void startTwoDaemons() throws Exception {
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
	void aLookupReachesItsOwnerFromAnyDaemon() throws Exception {
		for (PathFixture.Member entry : List.of(this.a, this.b)) {
			HttpResponse<String> answer = entry.get("/v1/hullbook/inspections/7?last=5", "Brasspier-Key", "hull-7");
			assertThat(answer.statusCode()).isEqualTo(200);
			assertThat(answer.body()).isEqualTo("done /inspections/7?last=5 ");
			assertThat(answer.headers().firstValue("Brasspier-Ran")).hasValue("ran");
			assertThat(answer.headers().firstValue("Brasspier-Fence")).hasValue("7");
			assertThat(answer.headers().firstValue("Brasspier-Owner")).hasValue("127.0.0.1:" + this.a.callerPort);
		}
		assertThat(this.a.server.orders).hasSize(2);
		assertThat(this.b.server.orders).isEmpty();
	}

	@Test
	void aPostingNeedsATicketAndThenRunsOnceHoweverOftenItIsSent() throws Exception {
		HttpResponse<String> first = this.b.post("/v1/hullbook/bookings", "slip 4", "Brasspier-Key", "hull-7",
				"Brasspier-Request-Id", "p-1");
		assertThat(first.statusCode()).isEqualTo(428);
		assertThat(first.headers().firstValue("Brasspier-Ran")).hasValue("not_run");
		String ticket = first.headers().firstValue("Brasspier-Ticket").orElseThrow();
		for (PathFixture.Member entry : List.of(this.b, this.a, this.b)) {
			HttpResponse<String> answer = entry.post("/v1/hullbook/bookings", "slip 4", "Brasspier-Key", "hull-7",
					"Brasspier-Request-Id", "p-1", "Brasspier-Ticket", ticket);
			assertThat(answer.body()).isEqualTo("done /bookings slip 4");
		}
		assertThat(this.a.server.orders).hasSize(1);
	}

	@Test
	void aPostingWhoseOwnerHasChangedDoesNotRunAgain() throws Exception {
		// A booking ran at its owner, the answer was lost, and the range moved. The
		// retry reaches the next owner, which can't know whether the booking ran.
		String ticket = this.a
			.post("/v1/hullbook/bookings", "x", "Brasspier-Key", "hull-7", "Brasspier-Request-Id", "p-1")
			.headers()
			.firstValue("Brasspier-Ticket")
			.orElseThrow();
		String[] resend = { "Brasspier-Key", "hull-7", "Brasspier-Request-Id", "p-1", "Brasspier-Ticket", ticket };
		this.a.post("/v1/hullbook/bookings", "x", resend);
		this.fixture.owns(this.b, 8);
		HttpResponse<String> answer = this.a.post("/v1/hullbook/bookings", "x", resend);
		assertThat(answer.statusCode()).isEqualTo(409);
		assertThat(answer.headers().firstValue("Brasspier-Error")).hasValue("POSSIBLY_RAN_BEFORE");
		assertThat(answer.headers().firstValue("Brasspier-Ran")).hasValue("unknown");
		assertThat(this.b.server.orders).isEmpty();
	}

	@Test
	void aRetryDuringTheFirstAttemptWaitsForItsAnswer() throws Exception {
		CountDownLatch finish = new CountDownLatch(1);
		this.a.server.behaviour = (exchange, body) -> {
			finish.await(20, TimeUnit.SECONDS);
			FakeServer.answer(exchange, 201, "booked");
		};
		String ticket = this.a
			.post("/v1/hullbook/bookings", "x", "Brasspier-Key", "hull-7", "Brasspier-Request-Id", "p-1")
			.headers()
			.firstValue("Brasspier-Ticket")
			.orElseThrow();
		String[] headers = { "Brasspier-Key", "hull-7", "Brasspier-Request-Id", "p-1", "Brasspier-Ticket", ticket };
		CompletableFuture<HttpResponse<String>> first = this.a.send("POST", "/v1/hullbook/bookings", "x", headers);
		PathFixture.await(() -> !this.a.server.orders.isEmpty());
		CompletableFuture<HttpResponse<String>> second = this.b.send("POST", "/v1/hullbook/bookings", "x", headers);
		PathFixture.await(() -> this.a.events.after(0).stream().anyMatch((event) -> event.kind().number() == 307));
		finish.countDown();
		assertThat(first.get(20, TimeUnit.SECONDS).body()).isEqualTo("booked");
		assertThat(second.get(20, TimeUnit.SECONDS).body()).isEqualTo("booked");
		assertThat(this.a.server.orders).hasSize(1);
	}

	@Test
	void aStaleRouteCostsOneRedirect() throws Exception {
		this.fixture.owns(this.b, 8);
		this.b.announce("ready", true);
		this.a.sees(this.b, 8);
		// A third daemon still has a route to the previous owner, a.
		PathFixture.Member c = this.fixture.add("c");
		this.fixture.owns(this.b, 8);
		c.sees(this.a, 7);
		assertThat(c.get("/v1/hullbook/x", "Brasspier-Key", "hull-7").statusCode()).isEqualTo(200);
		assertThat(this.b.server.orders).hasSize(1);
	}

	@Test
	void aHandoverLosesNoRequest() throws Exception {
		// The owner must drain while it runs one request. A second request arrives, is
		// held by the entry daemon, and is sent to the next owner once that is known.
		CountDownLatch finish = new CountDownLatch(1);
		this.a.server.behaviour = (exchange, body) -> {
			finish.await(20, TimeUnit.SECONDS);
			FakeServer.answer(exchange, 200, "by a");
		};
		CompletableFuture<HttpResponse<String>> running = this.b.send("GET", "/v1/hullbook/x", "", "Brasspier-Key",
				"hull-7");
		PathFixture.await(() -> !this.a.server.orders.isEmpty());
		HeldRange held = new HeldRange(PathFixture.HULLBOOK, KeyRange.ALL, new Fence(7));
		this.a.sees(this.b, 7);
		this.a.order(new RequestsOrder.DrainRange(held));
		CompletableFuture<HttpResponse<String>> arriving = this.b.send("GET", "/v1/hullbook/y", "", "Brasspier-Key",
				"hull-7");
		PathFixture.await(() -> this.b.events.after(0).stream().filter((e) -> e.kind().number() == 303).count() >= 2);
		assertThat(this.a.reports.stream().anyMatch(RequestsReport.RangeDrained.class::isInstance)).isFalse();
		finish.countDown();
		assertThat(running.get(20, TimeUnit.SECONDS).body()).isEqualTo("by a");
		PathFixture.await(() -> this.a.reports.stream().anyMatch(RequestsReport.RangeDrained.class::isInstance));
		this.fixture.owns(this.b, 8);
		assertThat(arriving.get(20, TimeUnit.SECONDS).body()).isEqualTo("done /y ");
	}

	@Test
	void anAnswerAfterTheLeaseHasExpiredIsNotRelayed() throws Exception {
		// The owner's process is paused while a lookup runs; its lease expires and
		// another owner serves the range. The late answer is outdated and must not be
		// relayed.
		CountDownLatch finish = new CountDownLatch(1);
		this.a.server.behaviour = (exchange, body) -> {
			finish.await(20, TimeUnit.SECONDS);
			FakeServer.answer(exchange, 200, "old");
		};
		CompletableFuture<HttpResponse<String>> running = this.a.send("GET", "/v1/hullbook/x", "", "Brasspier-Key",
				"hull-7", "Brasspier-Deadline-Millis", "1000");
		PathFixture.await(() -> !this.a.server.orders.isEmpty());
		this.a.sees(this.a, 7, System.nanoTime() - 1);
		finish.countDown();
		assertThat(running.get(20, TimeUnit.SECONDS).body()).doesNotContain("old");
	}

	// Guards against discarding the answer of a posting that ran because the lease was
	// renewed slightly late in a process without enough processor time.
	@Test
	void anAnswerIsRelayedOnceTheLeaseIsRenewedUnderTheSameFence() throws Exception {
		CompletableFuture<HttpResponse<String>> running = answeredDuringLapse();
		this.a.sees(this.a, 7);
		assertThat(running.get(20, TimeUnit.SECONDS).body()).isEqualTo("booked");
	}

	// Guards against an outdated answer: another owner held the range while the lease
	// was expired, and the range has come back.
	@Test
	void anAnswerIsNotRelayedOnceTheRangeHasANewerFence() throws Exception {
		CompletableFuture<HttpResponse<String>> running = answeredDuringLapse();
		this.a.sees(this.a, 9);
		HttpResponse<String> answer = running.get(20, TimeUnit.SECONDS);
		assertThat(answer.headers().firstValue("Brasspier-Ran")).hasValue("unknown");
		assertThat(answer.body()).doesNotContain("booked");
	}

	// Guards against a posting that ran and whose retries never get its answer: the
	// lease was expired for longer than the answer to the first attempt waited for its
	// renewal.
	@Test
	void aRetryGetsTheAnswerThatAnExpiredLeaseWithheldFromTheFirstAttempt() throws Exception {
		HttpResponse<String> first = answeredDuringLapse().get(20, TimeUnit.SECONDS);
		assertThat(first.headers().firstValue("Brasspier-Error")).hasValue("OUTCOME_UNKNOWN");
		this.a.sees(this.a, 7);
		HttpResponse<String> resend = this.a.post("/v1/hullbook/bookings", "x", "Brasspier-Key", "hull-7",
				"Brasspier-Request-Id", "p-1", "Brasspier-Attempt", "2", "Brasspier-Ticket", this.ticket);
		assertThat(resend.body()).isEqualTo("booked");
		assertThat(this.a.server.orders).hasSize(1);
	}

	// Guards against an outdated answer: it was withheld from the first attempt, and
	// another owner has held the range since and may have changed the data.
	@Test
	void aRetryDoesNotGetAnAnswerOfAnEarlierFence() throws Exception {
		answeredDuringLapse().get(20, TimeUnit.SECONDS);
		this.a.sees(this.a, 9);
		HttpResponse<String> resend = this.a.post("/v1/hullbook/bookings", "x", "Brasspier-Key", "hull-7",
				"Brasspier-Request-Id", "p-1", "Brasspier-Attempt", "2", "Brasspier-Ticket", this.ticket);
		assertThat(resend.headers().firstValue("Brasspier-Error")).hasValue("POSSIBLY_RAN_BEFORE");
		assertThat(this.a.server.orders).hasSize(1);
	}

	private CompletableFuture<HttpResponse<String>> answeredDuringLapse() throws Exception {
		String[] headers = { "Brasspier-Key", "hull-7", "Brasspier-Request-Id", "p-1" };
		this.ticket = this.a.post("/v1/hullbook/bookings", "x", headers)
			.headers()
			.firstValue("Brasspier-Ticket")
			.orElseThrow();
		CountDownLatch finish = new CountDownLatch(1);
		this.a.server.behaviour = (exchange, body) -> {
			finish.await(20, TimeUnit.SECONDS);
			FakeServer.answer(exchange, 201, "booked");
		};
		CompletableFuture<HttpResponse<String>> running = this.a.send("POST", "/v1/hullbook/bookings", "x",
				"Brasspier-Key", "hull-7", "Brasspier-Request-Id", "p-1", "Brasspier-Ticket", this.ticket);
		PathFixture.await(() -> !this.a.server.orders.isEmpty());
		this.a.sees(this.a, 7, System.nanoTime() - 1);
		finish.countDown();
		PathFixture.await(() -> this.a.events.after(0).stream().anyMatch((event) -> event.kind().number() == 302));
		return running;
	}

	@Test
	void aRequestThatCrashesItsServerIsRefusedAfterTheSecondLoss() throws Exception {
		// A lookup crashes each backend server that runs it. Its caller sends it again
		// with the same id. The third attempt must not reach any server.
		this.a.server.behaviour = (exchange, body) -> this.a.server.crash();
		this.b.server.behaviour = (exchange, body) -> this.b.server.crash();
		String[] headers = { "Brasspier-Key", "hull-7", "Brasspier-Request-Id", "killer", "Brasspier-Deadline-Millis",
				"400" };
		this.a.get("/v1/hullbook/x", headers);
		awaitSuspect(this.a);
		HeldRange held = new HeldRange(PathFixture.HULLBOOK, KeyRange.ALL, new Fence(7));
		this.a.order(new RequestsOrder.DrainRange(held));
		PathFixture.await(() -> this.a.reports.stream().anyMatch(RequestsReport.RangeDrained.class::isInstance));
		RequestsReport.RangeDrained drained = this.a.reports.stream()
			.filter(RequestsReport.RangeDrained.class::isInstance)
			.map(RequestsReport.RangeDrained.class::cast)
			.findFirst()
			.orElseThrow();
		assertThat(drained.marks()).hasSize(1);
		this.b.marked = List
			.of(new MarkedRange(new HeldRange(held.service(), held.range(), new Fence(8)), drained.marks()));
		this.fixture.owns(this.b, 8);
		this.a.get("/v1/hullbook/x", headers);
		awaitSuspect(this.b);
		HttpResponse<String> third = this.a.get("/v1/hullbook/x", headers);
		assertThat(third.headers().firstValue("Brasspier-Error")).hasValue("CRASHED_BACKENDS");
		assertThat(this.a.server.orders).hasSize(1);
		assertThat(this.b.server.orders).hasSize(1);
	}

	@Test
	void aLookupThatMayHaveRunIsNotReportedAsNotRunWhenItsSecondAttemptIsShed() throws Exception {
		// The first attempt runs and its connection breaks; the daemon sends the lookup
		// again and the server sheds it. "Not run" is true only of the second attempt.
		this.a.server.behaviour = (exchange, body) -> {
			if (this.a.server.orders.size() == 1) {
				exchange.close();
				return;
			}
			exchange.getResponseHeaders().add("Brasspier-Ran", "not_run");
			FakeServer.answer(exchange, 503, "shed");
		};
		HttpResponse<String> answer = this.a.get("/v1/hullbook/x", "Brasspier-Key", "hull-7");
		assertThat(this.a.server.orders.size()).isAtLeast(2);
		assertThat(answer.headers().firstValue("Brasspier-Ran")).hasValue("unknown");
	}

	private static void awaitSuspect(PathFixture.Member member) throws InterruptedException {
		PathFixture.await(() -> member.events.after(0).stream().anyMatch((event) -> event.kind().number() == 308));
	}

	/**
	 * Guards against requests that run on for callers that have left, also if these sent
	 * nothing more on their connection or another request behind the first.
	 */
	@ParameterizedTest
	@CsvSource({ "1.1,keep-alive,''", "1.1,close,''", "1.0,close,''", "1.1,keep-alive,gone-2", "1.1,close,gone-2" })
	void aRequestIsCancelledAcrossTheHopWhenItsCallerDisconnects(String version, String connection, String behind)
			throws Exception {
		CountDownLatch finish = new CountDownLatch(1);
		this.a.server.behaviour = (exchange, body) -> finish.await(20, TimeUnit.SECONDS);
		try (RawCaller caller = new RawCaller(this.b.callerPort)) {
			caller.send(lookup(version, connection, "gone-1"));
			PathFixture.await(() -> !this.a.server.orders.isEmpty());
			if (!behind.isEmpty()) {
				caller.send(lookup(version, connection, behind));
			}
		}
		PathFixture.await(() -> this.a.server.cancelled.stream().anyMatch((body) -> body.contains("gone-1")));
		finish.countDown();
	}

	private static String lookup(String version, String connection, String id) {
		return "GET /v1/hullbook/x HTTP/%s\r\nHost: x\r\nConnection: %s\r\nBrasspier-Key: k\r\nBrasspier-Request-Id: %s\r\n\r\n"
			.formatted(version, connection, id);
	}

	@Test
	void aServerThatChecksFencesGetsNoOrderBeforeItsGrant() throws Exception {
		this.a.get("/v1/hullbook/x", "Brasspier-Key", "hull-7");
		assertThat(this.a.server.grants.getFirst()).contains("\"fence\":7");
		assertThat(this.a.server.grants.getFirst()).contains("\"high\":4294967296");
	}

}
