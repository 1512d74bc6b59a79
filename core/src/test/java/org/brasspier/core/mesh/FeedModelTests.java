package org.brasspier.core.mesh;

import java.util.SplittableRandom;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Every daemon follows the configuration, one change answers all feeds at once, then the
 * store or its connections go silent. Users' bounds: a change is in force two seconds
 * after its acknowledgement, or three seconds after the end of the silence.
 */
class FeedModelTests {

	private static final long IN_FORCE_MILLIS = 2000;

	private static final long RECOVERY_MILLIS = 3000;

	private static final int SEEDS = 100;

	private static void assertInForceInTime(FeedModel model, long undisturbedFrom, long changedAt, String what) {
		model.runUntil(changedAt);
		long deadline = Math.max(undisturbedFrom + RECOVERY_MILLIS, changedAt + IN_FORCE_MILLIS);
		assertWithMessage(what).that(model.firstTimeAllCurrent(changedAt, deadline).isPresent()).isTrue();
	}

	/**
	 * Guards against feeds whose calls all hang beyond the end of an outage: no daemon
	 * knew of a change for six seconds.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 6, 9, 12, 18, 80 })
	void aChangeAfterASilentOutageIsInForceInTime(int instances) {
		for (long seed = 0; seed < SEEDS; seed++) {
			SplittableRandom random = new SplittableRandom(seed);
			FeedModel model = new FeedModel(instances, seed);
			long before = 3000 + random.nextLong(1000);
			long from = before + random.nextLong(7000);
			long until = from + 300 + random.nextLong(9000);
			long changed = until + 50 + random.nextLong(1500);
			model.changeAt(before);
			model.silent(from, until);
			model.changeAt(changed);
			assertInForceInTime(model, until, changed,
					"seed " + seed + ", " + from + " to " + until + ", then " + changed);
		}
	}

	/**
	 * Guards against connections that go silent at all daemons at once: each daemon
	 * waited for its own call to time out.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 6, 9, 12, 18, 80 })
	void aChangeAfterAllConnectionsWentSilentIsInForceInTime(int instances) {
		for (long seed = 0; seed < SEEDS; seed++) {
			SplittableRandom random = new SplittableRandom(seed);
			FeedModel model = new FeedModel(instances, seed);
			long before = 3000 + random.nextLong(1000);
			long silenced = before + random.nextLong(7000);
			long changed = silenced + 10 + random.nextLong(4000);
			model.changeAt(before);
			model.connectionsSilentAt(silenced);
			model.changeAt(changed);
			assertInForceInTime(model, silenced, changed, "seed " + seed + ", " + silenced + ", then " + changed);
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 12, 80 })
	void withoutDisturbanceEachFeedMakesOneCallEverySixSeconds(int instances) {
		FeedModel model = new FeedModel(instances, 1);
		model.runUntil(60_000);
		assertThat(model.calls()).isAtMost(instances * 12L);
	}

}
