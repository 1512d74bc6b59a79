package org.brasspier.daemon.internal.request;

import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.brasspier.core.Fence;
import org.brasspier.core.KeyRange;
import org.brasspier.core.document.Document;
import org.brasspier.core.document.FieldPath;
import org.brasspier.core.event.EventKind;
import org.brasspier.core.ownership.HeldRange;
import org.brasspier.daemon.internal.ownership.RequestsOrder;
import org.brasspier.daemon.internal.ownership.RequestsReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * A backend server or a connection to it that says nothing for a while, and what the
 * daemon beside it may believe meanwhile.
 */
class FrozenServerTests {

	private static final HeldRange HELD = new HeldRange(PathFixture.HULLBOOK, KeyRange.ALL, new Fence(7));

	private final PathFixture fixture = new PathFixture();

	private final CountDownLatch finish = new CountDownLatch(1);

	private PathFixture.Member a;

	@AfterEach
	void stop() throws Exception {
		this.finish.countDown();
		this.fixture.close();
	}

	private void start(boolean byKey, boolean checksFences) throws Exception {
		this.fixture.catalog = Document.of(Map.of(new FieldPath("service/hullbook/divided-by-key"),
				byKey ? "yes" : "no", new FieldPath("service/hullbook/lookup-deadline-millis"), "9000"))
			.catalog();
		this.a = this.fixture.add("a");
		this.fixture.owns(this.a, 7);
		this.a.announce("ready", checksFences);
	}

	// Guards against two owners: a range is released while its paused server still has a
	// valid grant, and the server goes by it when it wakes.
	@Test
	void aRangeIsNotReleasedBeforeTheGrantsOfItsFrozenServerHaveEnded() throws Exception {
		start(true, true);
		this.a.get("/v1/hullbook/x", "Brasspier-Key", "hull-7");
		long leaseEnd = System.nanoTime() + TimeUnit.SECONDS.toNanos(4);
		this.a.sees(this.a, 7, leaseEnd);
		int before = this.a.server.grants.size();
		PathFixture.await(() -> this.a.server.grants.size() > before + 1);
		this.a.server.freeze();
		PathFixture.await(() -> seen(EventKind.BACKEND_LOST));
		this.a.order(new RequestsOrder.DrainRange(HELD));
		PathFixture.await(this::drained);
		assertThat(System.nanoTime() - leaseEnd).isAtLeast(0L);
	}

	// Guards against a read that begins under an old fence: it was given up on a server
	// that checks no fences, is paused, and finds it unread when it wakes.
	@Test
	void aRangeIsNotReleasedBeforeAReadOnItsFrozenServerIsOverdue() throws Exception {
		start(false, false);
		this.a.server.behaviour = (exchange, body) -> this.finish.await(20, TimeUnit.SECONDS);
		CompletableFuture<HttpResponse<String>> read = this.a.send("GET", "/v1/hullbook/x", "", "Brasspier-Request-Id",
				"r-1", "Brasspier-Class", "audit", "Brasspier-Deadline-Millis", "4000");
		PathFixture.await(() -> !this.a.server.orders.isEmpty());
		this.a.server.freeze();
		PathFixture.await(() -> seen(EventKind.BACKEND_LOST));
		this.a.order(new RequestsOrder.DrainRange(HELD));
		PathFixture.await(this::drained);
		assertThat(System.currentTimeMillis()).isGreaterThan(this.a.server.orders.getFirst().deadlineAtMillis());
		read.get(20, TimeUnit.SECONDS);
	}

	// Guards against ranges that rest for no reason: a server whose process has ended
	// goes by no grant.
	@Test
	void aRangeOfAServerThatHasEndedIsReleasedThoughItsGrantsAreValid() throws Exception {
		start(true, true);
		this.a.get("/v1/hullbook/x", "Brasspier-Key", "hull-7");
		this.a.server.close();
		PathFixture.await(() -> seen(EventKind.BACKEND_LOST));
		this.a.order(new RequestsOrder.DrainRange(HELD));
		PathFixture.await(this::drained);
	}

	// Guards against a lookup that ends in an unknown outcome: its connection is silent,
	// its second try meets a server whose grant has run out meanwhile.
	@Tag("known-red")
	@Test
	void aSecondTryWaitsForAGrantThatTheServerHasAcknowledged() throws Exception {
		start(true, true);
		this.a.get("/v1/hullbook/warm", "Brasspier-Key", "hull-7");
		long firstGrantsEnd = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
		this.a.sees(this.a, 7, firstGrantsEnd);
		int before = this.a.server.grants.size();
		PathFixture.await(() -> this.a.server.grants.size() > before + 1);
		CountDownLatch granted = new CountDownLatch(1);
		int firstTry = this.a.server.orders.size() + 1;
		this.a.server.behaviour = (exchange, body) -> {
			if (this.a.server.orders.size() == firstTry) {
				this.finish.await(20, TimeUnit.SECONDS);
			}
			FakeServer.answer(exchange, (granted.getCount() == 0) ? 200 : 500, "granted " + (granted.getCount() == 0));
		};
		long lastEvent = this.a.events.after(0).getLast().number();
		this.a.server.holdGrants();
		CompletableFuture<HttpResponse<String>> lookup = this.a.send("GET", "/v1/hullbook/x", "", "Brasspier-Key",
				"hull-7", "Brasspier-Deadline-Millis", "9000");
		PathFixture.await(() -> this.a.server.orders.size() == firstTry);
		this.a.sees(this.a, 7);
		PathFixture.await(() -> this.a.events.after(lastEvent)
			.stream()
			.anyMatch((event) -> event.kind() == EventKind.CONNECTION_REPLACED));
		granted.countDown();
		this.a.server.takeGrants();
		assertThat(lookup.get(20, TimeUnit.SECONDS).body()).isEqualTo("granted true");
	}

	private boolean seen(EventKind kind) {
		return this.a.events.after(0).stream().anyMatch((event) -> event.kind() == kind);
	}

	private boolean drained() {
		return this.a.reports.stream().anyMatch(RequestsReport.RangeDrained.class::isInstance);
	}

}
