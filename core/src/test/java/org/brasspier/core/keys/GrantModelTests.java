package org.brasspier.core.keys;

import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertWithMessage;

class GrantModelTests {

	static Stream<GrantDelivery> deliveries() {
		return Stream.of(new GrantDelivery.InHeartbeats(), new GrantDelivery.ByCall());
	}

	/**
	 * Guards against two servers that hold the same key when grants take effect late, and
	 * against a server that restarts at its address and receives a fence that the process
	 * before it had.
	 */
	@ParameterizedTest
	@MethodSource("deliveries")
	void noKeyHasTwoHoldersWhenMessagesAreLostOrAppliedLateAndServersRestart(GrantDelivery delivery) {
		int moves = 0;
		int lateGrants = 0;
		int restarts = 0;
		for (long seed : LongStream.range(0, 40).toArray()) {
			GrantModel model = new GrantModel(seed, delivery);
			model.run();
			assertWithMessage("seed %s", seed).that(model.violations()).isEmpty();
			moves += model.moves();
			lateGrants += model.lateGrants();
			restarts += model.restarts();
		}
		assertWithMessage("servers restarted").that(restarts).isGreaterThan(500);
		assertWithMessage("keys moved").that(moves).isGreaterThan(1000);
		boolean byCall = delivery instanceof GrantDelivery.ByCall;
		assertWithMessage("grants applied late").that(lateGrants).isAtLeast(byCall ? 1000 : 0);
	}

}
