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
		assertThat(this.meter.busySlots(KeyRange.ALL, 0, 120 * SECOND)).isWithin(0.2).of(4);
	}

	@Test
	void aHotPointIsFoundAmongManyOthers() {
		run(120, 0.3);
		PlacementInput.HotPoint hot = this.meter.hottest(KeyRange.ALL, 0, 120 * SECOND).orElseThrow();
		assertThat(hot.point()).isEqualTo(4711);
		assertThat(hot.busySlots()).isWithin(0.2).of(1.2);
	}

	@Test
	void loadDecaysAfterRequestsStop() {
		run(120, 0.3);
		assertThat(this.meter.busySlots(KeyRange.ALL, 0, 300 * SECOND)).isLessThan(0.01);
	}

	/**
	 * Guards against one server that keeps nearly all keys after a start: the first
	 * measured request looked like thousands of busy slots and decided the placement.
	 */
	@Test
	void theFirstRequestOfAServiceCountsAsLittleLoad() {
		this.meter.record(new KeyHash(1), SECOND / 50, 0);
		assertThat(this.meter.busySlots(KeyRange.ALL, 0, 1)).isLessThan(0.01);
	}

	/**
	 * Guards against overloading a server to which a busy range has just moved. Its
	 * daemon averaged one second of observations over the whole window, so the server
	 * looked nearly empty and was given more ranges.
	 */
	@Test
	void aRangeThatHasJustMovedShowsItsFullLoad() {
		KeyRange moved = new KeyRange(0, 1000);
		for (int i = 0; i < 500; i++) {
			this.meter.record(new KeyHash(i % 7), SECOND / 100, 60 * SECOND + i * SECOND / 100);
		}
		assertThat(this.meter.busySlots(moved, 60 * SECOND, 65 * SECOND)).isWithin(0.1).of(1);
	}

	/**
	 * Guards against moving most of a service at once under steady load. A range had
	 * moved back to a server, and its load before that was divided by the two seconds
	 * since the move.
	 */
	@Test
	void aRangeThatHasMovedBackShowsNoEarlierLoad() {
		run(60, 0.3);
		this.meter.forget(KeyRange.ALL);
		assertThat(this.meter.busySlots(KeyRange.ALL, 60 * SECOND, 61 * SECOND)).isLessThan(0.01);
	}

	/**
	 * Guards against moving ranges back and forth under a steady rate of long reads: a
	 * few reads of one second more or less in the last ten seconds looked like a change
	 * of load.
	 */
	@Test
	void randomLongReadsDoNotLookLikeAChangeOfLoad() {
		LoadMeter busy = new LoadMeter(10 * SECOND, 0);
		double worst = 0;
		for (int i = 0; i < 3 * 900; i++) {
			long at = (long) ((i + this.random.nextDouble()) * SECOND / 3);
			busy.record(new KeyHash(this.random.nextLong(KeyHash.SPACE)),
					(long) (this.random.nextExponential() * SECOND), at);
			double error = Math.abs(busy.busySlots(KeyRange.ALL, 0, at) / 3 - 1);
			worst = Math.max(worst, (i > 3 * 300) ? error : 0);
		}
		assertThat(worst).isLessThan(0.25);
	}

	private void run(int seconds, double hotShare) {
		for (int i = 0; i < seconds * 400; i++) {
			long point = (this.random.nextDouble() < hotShare) ? 4711 : this.random.nextLong(KeyHash.SPACE);
			this.meter.record(new KeyHash(point), SECOND / 100, i * SECOND / 400);
		}
	}

}
