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
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Backend servers and connections that are silent for a while, and what their daemon may
 * assume in the meantime.
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

	private void start(boolean sharded, boolean checksFences) throws Exception {
		this.fixture.catalog = Document.of(Map.of(new FieldPath("service/hullbook/divided-by-key"),
				sharded ? "yes" : "no", new FieldPath("limits/hullbook/lookup-deadline-millis"), "9000"))
			.catalog();
		this.a = this.fixture.add("a");
		this.fixture.owns(this.a, 7);
		this.a.announce("ready", checksFences);
	}

	// Guards against two owners: a range is released while its paused server still has
	// a valid grant, which the server uses when it resumes.
	@Test
	void aRangeIsNotReleasedBeforeTheGrantsOfItsFrozenServerHaveEnded() throws Exception {
		start(true, true);
		this.a.get("/v1/hullbook/x", "Brasspier-Key", "hull-7");
		long leaseEnd = System.nanoTime() + TimeUnit.SECONDS.toNanos(4);
		this.a.sees(this.a, 7, leaseEnd);
		int before = this.a.server.grants.size();
		PathFixture.await(() -> this.a.server.grants.size() > before + 1);
		this.a.server.freeze();
		PathFixture.await(() -> hasEvent(EventKind.BACKEND_LOST));
		this.a.order(new RequestsOrder.DrainRange(HELD));
		PathFixture.await(this::drained);
		assertThat(System.nanoTime() - leaseEnd).isAtLeast(0L);
	}

	// Guards against a read that starts under an old fence: the daemon has abandoned
	// it, and a paused server that does not check fences reads it when it resumes.
	@Test
	void aRangeIsNotReleasedBeforeTheDeadlineOfAReadOnItsFrozenServer() throws Exception {
		start(false, false);
		this.a.server.behaviour = (exchange, body) -> this.finish.await(20, TimeUnit.SECONDS);
		CompletableFuture<HttpResponse<String>> read = this.a.send("GET", "/v1/hullbook/x", "", "Brasspier-Request-Id",
				"r-1", "Brasspier-Class", "audit", "Brasspier-Deadline-Millis", "4000");
		PathFixture.await(() -> !this.a.server.orders.isEmpty());
		this.a.server.freeze();
		PathFixture.await(() -> hasEvent(EventKind.BACKEND_LOST));
		this.a.order(new RequestsOrder.DrainRange(HELD));
		PathFixture.await(this::drained);
		assertThat(System.currentTimeMillis()).isGreaterThan(this.a.server.orders.getFirst().deadlineAtMillis());
		read.get(20, TimeUnit.SECONDS);
	}

	// Guards against an unnecessary wait before a range is released: a server whose
	// process has ended can no longer use its grants.
	@Test
	void aRangeOfAServerThatHasEndedIsReleasedAlthoughItsGrantsAreValid() throws Exception {
		start(true, true);
		this.a.get("/v1/hullbook/x", "Brasspier-Key", "hull-7");
		this.a.server.close();
		PathFixture.await(() -> hasEvent(EventKind.BACKEND_LOST));
		this.a.order(new RequestsOrder.DrainRange(HELD));
		PathFixture.await(this::drained);
	}

	// Guards against a second attempt that the server refuses for its fence: the grant
	// expired while the first attempt was silent.
	@Test
	void aSecondAttemptIsNotSentToAServerThatHasNotAcknowledgedItsGrant() throws Exception {
		CompletableFuture<HttpResponse<String>> lookup = silentUntilItsGrantHasExpired();
		assertThat(lookup.get(20, TimeUnit.SECONDS).headers().firstValue("Brasspier-Ran")).hasValue("unknown");
		assertThat(hasEvent(EventKind.CONNECTION_REPLACED)).isTrue();
		assertThat(ordersWithId("silent-1")).isEqualTo(1);
	}

	// Guards against a lookup with an unknown outcome although its server is available
	// again: the second attempt fails because no grant is acknowledged at that moment.
	@Test
	void aSecondAttemptWaitsForAGrantThatTheServerHasAcknowledged() throws Exception {
		CompletableFuture<HttpResponse<String>> lookup = silentUntilItsGrantHasExpired();
		PathFixture.await(() -> hasEvent(EventKind.CONNECTION_REPLACED));
		this.a.server.acceptGrants();
		assertThat(lookup.get(20, TimeUnit.SECONDS).body()).isEqualTo("granted true");
		assertThat(ordersWithId("silent-1")).isEqualTo(2);
	}

	// Sends a lookup whose first attempt is not answered. Its deadline leaves three
	// seconds for that attempt; the server's grant ends after one second, and the
	// server accepts no newer grant.
	private CompletableFuture<HttpResponse<String>> silentUntilItsGrantHasExpired() throws Exception {
		start(true, true);
		this.a.get("/v1/hullbook/warm", "Brasspier-Key", "hull-7");
		this.a.sees(this.a, 7, System.nanoTime() + TimeUnit.SECONDS.toNanos(1));
		int before = this.a.server.grants.size();
		PathFixture.await(() -> this.a.server.grants.size() > before + 1);
		this.a.server.stopGrants();
		int taken = this.a.server.grants.size();
		this.a.server.behaviour = (exchange, body) -> {
			if (ordersWithId("silent-1") == 1) {
				this.finish.await(20, TimeUnit.SECONDS);
			}
			boolean granted = this.a.server.grants.size() > taken;
			FakeServer.answer(exchange, granted ? 200 : 500, "granted " + granted);
		};
		CompletableFuture<HttpResponse<String>> lookup = this.a.send("GET", "/v1/hullbook/x", "", "Brasspier-Key",
				"hull-7", "Brasspier-Request-Id", "silent-1", "Brasspier-Deadline-Millis", "9000");
		PathFixture.await(() -> ordersWithId("silent-1") == 1);
		this.a.sees(this.a, 7);
		return lookup;
	}

	private long ordersWithId(String id) {
		return this.a.server.orders.stream().filter((order) -> order.id().equals(id)).count();
	}

	private boolean hasEvent(EventKind kind) {
		return this.a.events.after(0).stream().anyMatch((event) -> event.kind() == kind);
	}

	private boolean drained() {
		return this.a.reports.stream().anyMatch(RequestsReport.RangeDrained.class::isInstance);
	}

}
