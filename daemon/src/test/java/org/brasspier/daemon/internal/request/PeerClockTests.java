package org.brasspier.daemon.internal.request;

import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class PeerClockTests {

	// Guards against an order that seems younger than it is: messages of both ways are
	// held up at random, those that open the connection too.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void aMessageIsNeverTakenForYoungerThanItIs(long seed) {
		RandomGenerator random = new SplittableRandom(seed);
		long peerOpened = random.nextLong(1_000_000_000);
		long clocksDifferBy = random.nextLong(-1_000_000_000, 1_000_000_000);
		long now = peerOpened + random.nextLong(500_000_000);
		PeerClock clock = PeerClock.openedAt(now + clocksDifferBy);
		for (int i = 0; i < 1000; i++) {
			long pongSent = now + random.nextLong(100_000_000);
			long pongHeard = pongSent + random.nextLong(400_000_000);
			long trueAtSending = pongHeard - peerOpened;
			assertThat(clock.at(pongHeard + clocksDifferBy)).isAtMost(trueAtSending);
			clock = PeerClock.heard(pongSent - peerOpened, pongHeard + clocksDifferBy);
			assertThat(clock.at(pongHeard + clocksDifferBy)).isAtMost(trueAtSending);
			now = pongHeard;
		}
	}

}
