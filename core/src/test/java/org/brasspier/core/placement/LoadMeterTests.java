package org.brasspier.core.placement;

import java.util.SplittableRandom;

import org.brasspier.core.KeyHash;
import org.brasspier.core.KeyRange;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LoadMeterTests {

	private static final long SECOND = 1_000_000_000L;

	private final LoadMeter meter = new LoadMeter(15 * SECOND, 0);

	private final SplittableRandom random = new SplittableRandom(7);

	@Test
	void aRangeShowsTheSlotsThatItsRequestsKeepBusy() {
		run(120, 0.3);
		assertThat(this.meter.busySlots(KeyRange.ALL, 120 * SECOND)).isWithin(0.2).of(4);
	}

	@Test
	void aHotPointIsFoundAmongManyOthers() {
		run(120, 0.3);
		PlacementInput.HotPoint hot = this.meter.hottest(KeyRange.ALL, 120 * SECOND).orElseThrow();
		assertThat(hot.point()).isEqualTo(4711);
		assertThat(hot.busySlots()).isWithin(0.2).of(1.2);
	}

	@Test
	void whatEndedIsForgotten() {
		run(120, 0.3);
		assertThat(this.meter.busySlots(KeyRange.ALL, 300 * SECOND)).isLessThan(0.01);
	}

	/**
	 * One server keeps nearly all keys after a start: the first request that a daemon
	 * measured looked like thousands of busy slots and decided who got what.
	 */
	@Test
	void theFirstRequestOfAServiceIsNoGreatLoad() {
		this.meter.record(new KeyHash(1), SECOND / 50, 0);
		assertThat(this.meter.busySlots(KeyRange.ALL, 1)).isLessThan(0.01);
	}

	private void run(int seconds, double hotShare) {
		for (int i = 0; i < seconds * 400; i++) {
			long point = (this.random.nextDouble() < hotShare) ? 4711 : this.random.nextLong(KeyHash.SPACE);
			this.meter.record(new KeyHash(point), SECOND / 100, i * SECOND / 400);
		}
	}

}
