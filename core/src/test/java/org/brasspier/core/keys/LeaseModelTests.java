package org.brasspier.core.keys;

import java.util.List;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class LeaseModelTests {

	private static final int SEEDS = 200;

	/**
	 * A holder must have stopped granting before anybody takes its keys, whatever
	 * happens: links that hold up or lose promises, writes that the store carries out
	 * seconds after they were sent, processes that restart and forget, machines that are
	 * suspended, clocks that run apart. Else two backend servers hold one key.
	 */
	@Test
	void nobodyTakesTheKeysOfAHolderThatStillGrantsThem() {
		LongStream.range(0, SEEDS).forEach((seed) -> {
			LeaseModel model = new LeaseModel(seed);
			model.play();
			assertWithMessage("seed %s", seed).that(model.violations()).isEmpty();
		});
	}

	@Test
	void keysAreTakenBothByDeputiesAndAfterWholeLeases() {
		List<LeaseModel> played = LongStream.range(0, SEEDS).mapToObj(LeaseModel::new).toList();
		played.forEach(LeaseModel::play);
		int early = played.stream().mapToInt(LeaseModel::earlyTakes).sum();
		int all = played.stream().mapToInt(LeaseModel::takes).sum();
		assertThat(early).isGreaterThan(SEEDS);
		assertThat(all).isGreaterThan(early);
	}

}
