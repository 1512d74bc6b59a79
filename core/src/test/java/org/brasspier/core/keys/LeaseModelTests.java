package org.brasspier.core.keys;

import java.util.List;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class LeaseModelTests {

	private static final int SEEDS = 200;

	/**
	 * Guards against two backend servers that hold the same key: a holder must have
	 * stopped granting before any instance takes its keys. The model includes links that
	 * delay or lose promises, writes applied seconds after they were sent, restarted
	 * processes without memory, suspended machines and clocks that differ in rate.
	 */
	@Test
	void keysAreNotTakenFromAHolderThatStillGrantsThem() {
		LongStream.range(0, SEEDS).forEach((seed) -> {
			LeaseModel model = new LeaseModel(seed);
			model.run();
			assertWithMessage("seed %s", seed).that(model.violations()).isEmpty();
		});
	}

	@Test
	void keysAreTakenByDeputiesAndAfterWholeLeases() {
		List<LeaseModel> models = LongStream.range(0, SEEDS).mapToObj(LeaseModel::new).toList();
		models.forEach(LeaseModel::run);
		int byDeputy = models.stream().mapToInt(LeaseModel::takeoversByDeputy).sum();
		int all = models.stream().mapToInt(LeaseModel::takeovers).sum();
		assertThat(byDeputy).isGreaterThan(SEEDS);
		assertThat(all).isGreaterThan(byDeputy);
	}

}
