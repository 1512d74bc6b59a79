package org.brasspier.core.admission;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ConcurrencyLimitTests {

	private final ConcurrencyLimit limit = new ConcurrencyLimit(17);

	private final SplittableRandom random = new SplittableRandom(5);

	/**
	 * Guards against lookups that wait behind long reads inside the backend server, where
	 * no class has priority: it announces 17 slots and has 6.
	 */
	@Test
	void limitApproachesTheRealNumberOfSlots() {
		observe(20_000, 6, 1);
		assertThat(this.limit.limit()).isAtLeast(6);
		assertThat(this.limit.limit()).isAtMost(10);
	}

	@Test
	void serverThatIsSlowAtAnyConcurrencyKeepsItsSlots() {
		observe(20_000, 17, 5);
		assertThat(this.limit.limit()).isEqualTo(17);
	}

	@Test
	void sheddingLowersTheLimitUntilTheServerRecovers() {
		this.limit.onShed(9);
		assertThat(this.limit.limit()).isEqualTo(8);
		observe(2_000, 17, 1);
		assertThat(this.limit.limit()).isEqualTo(17);
	}

	private void observe(int count, int trueSlots, double slowness) {
		for (int i = 0; i < count; i++) {
			int concurrency = this.random.nextInt(1, this.limit.limit() + 1);
			double inside = Math.max(1, concurrency / (double) trueSlots);
			this.limit.observe(concurrency, slowness * inside * this.random.nextExponential());
		}
	}

}
