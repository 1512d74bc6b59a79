package org.brasspier.daemon.internal.request;

import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.brasspier.core.document.Document;
import org.brasspier.core.document.FieldPath;
import org.brasspier.core.event.EventKind;
import org.brasspier.standins.FaultLink;
import org.brasspier.standins.FaultProxy;
import org.brasspier.standins.LinkState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Orders of a service that is not sharded: one daemon admits them, and the backend server
 * of another one runs them.
 */
class DelayedOrderTests {

	private final PathFixture fixture = new PathFixture();

	private final FaultProxy proxy = new FaultProxy();

	private PathFixture.Member owner;

	private PathFixture.Member runner;

	private FaultLink link;

	@BeforeEach
	void startTwoDaemons() throws Exception {
		this.fixture.catalog = Document.of(Map.of(new FieldPath("service/hullbook/divided-by-key"), "no",
				new FieldPath("limits/hullbook/lookup-deadline-millis"), "9000"))
			.catalog();
		this.owner = this.fixture.add("owner");
		this.runner = this.fixture.add("runner");
		this.link = this.proxy.link("orders", new InetSocketAddress("127.0.0.1", this.runner.forwardPort), 0);
		this.runner.forwardedThrough = this.link.address().getPort();
		this.fixture.owns(this.owner, 7);
		this.runner.announce("ready", false);
		assertThat(lookup("warm-1").get(20, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
		this.proxy.close();
	}

	// Guards against an order that starts after its owner's lease has ended: it was
	// delayed between two daemons, and the receiver counted the remaining lease from
	// the time of receipt.
	@Test
	void anOrderDelayedBetweenDaemonsDoesNotOutliveItsOwnersLease() throws Exception {
		long leaseEnd = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
		this.owner.sees(this.owner, 7, leaseEnd);
		this.link.state(LinkState.HELD);
		CompletableFuture<HttpResponse<String>> lookup = lookup("held-1");
		PathFixture.await(() -> System.nanoTime() - leaseEnd > 0);
		this.link.state(LinkState.HEALTHY);
		PathFixture.await(() -> refused("held-1"));
		lookup.get(20, TimeUnit.SECONDS);
		assertThat(this.runner.server.orders.stream().map(FakeServer.ReceivedOrder::id)).doesNotContain("held-1");
	}

	private CompletableFuture<HttpResponse<String>> lookup(String id) {
		return this.owner.send("GET", "/v1/hullbook/x", "", "Brasspier-Request-Id", id, "Brasspier-Deadline-Millis",
				"9000");
	}

	private boolean refused(String id) {
		return this.runner.events.after(0)
			.stream()
			.anyMatch((event) -> event.kind() == EventKind.REQUEST_REFUSED && event.subject().text().equals(id));
	}

}
