package org.brasspier.daemon.internal.request;

import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class PeerClockTests {

	/** Two clocks with this drift differ by no more than the allowance of 1 %. */
	private static final double SLEW = 0.0049;

	/** A link with one request per minute. */
	private static final long SPARSE_NANOS = 60_000_000_000L;

	// Guards against an order that appears younger than it is: messages in both
	// directions are delayed at random, including those that open the connection, and
	// the clocks drift.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void aMessageNeverAppearsYoungerThanItIs(long seed) {
		RandomGenerator random = new SplittableRandom(seed);
		double peerRate = random.nextDouble(1 - SLEW, 1 + SLEW);
		double ownRate = random.nextDouble(1 - SLEW, 1 + SLEW);
		long now = random.nextLong(500_000_000);
		PeerClock clock = PeerClock.openedAt((long) (now * ownRate));
		for (int i = 0; i < 1000; i++) {
			long pongSent = now + random.nextLong(SPARSE_NANOS);
			now = pongSent + random.nextLong(400_000_000);
			assertThat(clock.peerNanosAt((long) (now * ownRate))).isAtMost((long) (now * peerRate));
			clock = PeerClock.measured((long) (pongSent * peerRate), (long) (now * ownRate));
			assertThat(clock.peerNanosAt((long) (now * ownRate))).isAtMost((long) (now * peerRate));
		}
	}

}
