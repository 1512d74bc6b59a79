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
				byKey ? "yes" : "no", new FieldPath("limits/hullbook/lookup-deadline-millis"), "9000"))
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

	// Guards against a second try that is sent to a server whose grant has run out while
	// the first one was silent: it refuses the fence.
	@Test
	void aSecondTryIsNotSentToAServerThatHasNotAcknowledgedItsGrant() throws Exception {
		CompletableFuture<HttpResponse<String>> lookup = silentUntilItsGrantHasRunOut();
		assertThat(lookup.get(20, TimeUnit.SECONDS).headers().firstValue("Brasspier-Ran")).hasValue("unknown");
		assertThat(seen(EventKind.CONNECTION_REPLACED)).isTrue();
		assertThat(ordersNamed("silent-1")).isEqualTo(1);
	}

	// Guards against a lookup that ends in an unknown outcome though its server is back:
	// its second try gives up because no grant is acknowledged in that moment.
	@Test
	void aSecondTryWaitsForAGrantThatTheServerHasAcknowledged() throws Exception {
		CompletableFuture<HttpResponse<String>> lookup = silentUntilItsGrantHasRunOut();
		PathFixture.await(() -> seen(EventKind.CONNECTION_REPLACED));
		this.a.server.takeGrants();
		assertThat(lookup.get(20, TimeUnit.SECONDS).body()).isEqualTo("granted true");
		assertThat(ordersNamed("silent-1")).isEqualTo(2);
	}

	// A lookup whose first try says nothing. Its deadline leaves the first try three
	// seconds, the server's grant ends after one, and the server takes no newer one.
	private CompletableFuture<HttpResponse<String>> silentUntilItsGrantHasRunOut() throws Exception {
		start(true, true);
		this.a.get("/v1/hullbook/warm", "Brasspier-Key", "hull-7");
		this.a.sees(this.a, 7, System.nanoTime() + TimeUnit.SECONDS.toNanos(1));
		int before = this.a.server.grants.size();
		PathFixture.await(() -> this.a.server.grants.size() > before + 1);
		this.a.server.holdGrants();
		int taken = this.a.server.grants.size();
		this.a.server.behaviour = (exchange, body) -> {
			if (ordersNamed("silent-1") == 1) {
				this.finish.await(20, TimeUnit.SECONDS);
			}
			boolean granted = this.a.server.grants.size() > taken;
			FakeServer.answer(exchange, granted ? 200 : 500, "granted " + granted);
		};
		CompletableFuture<HttpResponse<String>> lookup = this.a.send("GET", "/v1/hullbook/x", "", "Brasspier-Key",
				"hull-7", "Brasspier-Request-Id", "silent-1", "Brasspier-Deadline-Millis", "9000");
		PathFixture.await(() -> ordersNamed("silent-1") == 1);
		this.a.sees(this.a, 7);
		return lookup;
	}

	private long ordersNamed(String id) {
		return this.a.server.orders.stream().filter((order) -> order.id().equals(id)).count();
	}

	private boolean seen(EventKind kind) {
		return this.a.events.after(0).stream().anyMatch((event) -> event.kind() == kind);
	}

	private boolean drained() {
		return this.a.reports.stream().anyMatch(RequestsReport.RangeDrained.class::isInstance);
	}

}
