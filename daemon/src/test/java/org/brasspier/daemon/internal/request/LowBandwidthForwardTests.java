package org.brasspier.daemon.internal.request;

import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.brasspier.daemon.internal.mesh.LowBandwidthNetwork;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * A large answer between two daemons whose network carries ten megabits a second.
 */
class LowBandwidthForwardTests {

	private static final int MEGABITS = 10;

	private static final int TRIES = 20;

	/** Takes longer than a link may be silent. */
	private static final String LARGE = "x".repeat(550_000);

	/**
	 * Guards against a connection that is closed as silent in the middle of a large
	 * answer, and with it all requests that wait on it.
	 */
	@Test
	void aLargeAnswerArrivesThroughANarrowNetwork() throws Exception {
		PathFixture fixture = new PathFixture();
		PathFixture.Member entry = fixture.add("entry");
		PathFixture.Member owner = fixture.add("owner");
		try (LowBandwidthNetwork network = new LowBandwidthNetwork(
				new InetSocketAddress("127.0.0.1", owner.forwardPort), MEGABITS)) {
			owner.forwardedThrough = network.address().getPort();
			fixture.owns(owner, 7);
			owner.announce("ready", true);
			owner.server.behaviour = (exchange, body) -> FakeServer.answer(exchange, 200, LARGE);
			// A machine that is busy may need a second try; in the middle of each answer
			// the
			// connection would be closed.
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
