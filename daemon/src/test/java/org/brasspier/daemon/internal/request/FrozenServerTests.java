package org.brasspier.daemon.internal.request;

import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.brasspier.core.document.Document;
import org.brasspier.core.document.FieldPath;
import org.brasspier.core.event.EventKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * A backend server or a connection to it that says nothing for a while, and what the
 * daemon beside it may believe meanwhile.
 */
class FrozenServerTests {

	private final PathFixture fixture = new PathFixture();

	private final CountDownLatch finish = new CountDownLatch(1);

	private PathFixture.Member a;

	@AfterEach
	void stop() throws Exception {
		this.finish.countDown();
		this.fixture.close();
	}

	private void start(boolean byKey, boolean checksFences) throws Exception {
		this.fixture.catalog = Document
			.of(Map.of(new FieldPath("service/hullbook/divided-by-key"), byKey ? "yes" : "no"))
			.catalog();
		this.a = this.fixture.add("a");
		this.fixture.owns(this.a, 7);
		this.a.announce("ready", checksFences);
	}

	// Guards against a lookup that ends in an unknown outcome: its connection is silent,
	// its second try meets a server whose grant has run out meanwhile.
	@Test
	void aSecondTryWaitsForAGrantThatTheServerHasAcknowledged() throws Exception {
		start(true, true);
		this.a.get("/v1/hullbook/warm", "Brasspier-Key", "hull-7");
		long firstGrantsEnd = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
		this.a.sees(this.a, 7, firstGrantsEnd);
		int before = this.a.server.grants.size();
		PathFixture.await(() -> this.a.server.grants.size() > before + 1);
		CountDownLatch granted = new CountDownLatch(1);
		this.a.server.behaviour = (exchange, body) -> {
			if (this.a.server.orders.size() == 2) {
				this.finish.await(20, TimeUnit.SECONDS);
			}
			FakeServer.answer(exchange, (granted.getCount() == 0) ? 200 : 500, "granted " + (granted.getCount() == 0));
		};
		this.a.server.holdGrants();
		CompletableFuture<HttpResponse<String>> lookup = this.a.send("GET", "/v1/hullbook/x", "", "Brasspier-Key",
				"hull-7", "Brasspier-Deadline-Millis", "9000");
		PathFixture.await(() -> this.a.server.orders.size() == 2);
		this.a.sees(this.a, 7);
		PathFixture.await(() -> seen(EventKind.CONNECTION_REPLACED));
		granted.countDown();
		this.a.server.takeGrants();
		assertThat(lookup.get(20, TimeUnit.SECONDS).body()).isEqualTo("granted true");
	}

	private boolean seen(EventKind kind) {
		return this.a.events.after(0).stream().anyMatch((event) -> event.kind() == kind);
	}

}
