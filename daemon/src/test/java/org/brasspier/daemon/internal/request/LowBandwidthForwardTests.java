package org.brasspier.daemon.internal.request;

import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.brasspier.daemon.internal.mesh.LowBandwidthNetwork;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * A large answer between two daemons on a network with a bandwidth of 10 Mbit/s.
 */
class LowBandwidthForwardTests {

	private static final int MEGABITS = 10;

	private static final int TRIES = 20;

	/** Takes longer to transfer than the silence timeout of a link. */
	private static final String LARGE = "x".repeat(550_000);

	/**
	 * Guards against closing a connection as silent during the transfer of a large
	 * answer, which fails all requests that are pending on it.
	 */
	@Test
	void aLargeAnswerArrivesOverALowBandwidthNetwork() throws Exception {
		PathFixture fixture = new PathFixture();
		PathFixture.Member entry = fixture.add("entry");
		PathFixture.Member owner = fixture.add("owner");
		try (LowBandwidthNetwork network = new LowBandwidthNetwork(
				new InetSocketAddress("127.0.0.1", owner.forwardPort), MEGABITS)) {
			owner.forwardedThrough = network.address().getPort();
			fixture.owns(owner, 7);
			owner.announce("ready", true);
			owner.server.behaviour = (exchange, body) -> FakeServer.answer(exchange, 200, LARGE);
			// On a busy machine the first attempt may fail. With the fault, the
			// connection is closed during every answer, so all attempts fail.
			Optional<HttpResponse<String>> whole = Optional.empty();
			for (int i = 0; i < TRIES && whole.isEmpty(); i++) {
				whole = Optional
					.of(entry.send("GET", "/v1/hullbook/x", "", "Brasspier-Key", "hull-7").get(60, TimeUnit.SECONDS))
					.filter((answer) -> answer.statusCode() == 200);
			}
			assertThat(whole.orElseThrow().body()).hasLength(LARGE.length());
		}
		finally {
			fixture.close();
		}
	}

}
