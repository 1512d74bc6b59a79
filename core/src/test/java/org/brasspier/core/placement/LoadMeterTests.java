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
	void whatEndedIsForgotten() {
		run(120, 0.3);
		assertThat(this.meter.busySlots(KeyRange.ALL, 0, 300 * SECOND)).isLessThan(0.01);
	}

	/**
	 * One server keeps nearly all keys after a start: the first request that a daemon
	 * measured looked like thousands of busy slots and decided who got what.
	 */
	@Test
	void theFirstRequestOfAServiceIsNoGreatLoad() {
		this.meter.record(new KeyHash(1), SECOND / 50, 0);
		assertThat(this.meter.busySlots(KeyRange.ALL, 0, 1)).isLessThan(0.01);
	}

	/**
	 * Tellers queue at the server that a busy range has just come to: its daemon took the
	 * second that it had seen of the range for its whole window, so the server looked
	 * nearly empty and was given more.
	 */
	@Test
	void aRangeThatHasJustComeShowsItsWholeLoad() {
		KeyRange come = new KeyRange(0, 1000);
		for (int i = 0; i < 500; i++) {
			this.meter.record(new KeyHash(i % 7), SECOND / 100, 60 * SECOND + i * SECOND / 100);
		}
		assertThat(this.meter.busySlots(come, 60 * SECOND, 65 * SECOND)).isWithin(0.1).of(1);
	}

	/**
	 * Most of a service moved at once, on steady load: a range had come back to a server,
	 * and what it did there before was counted over the two seconds since.
	 */
	@Test
	void aRangeThatHasComeBackShowsNothingOfItsEarlierStay() {
		run(60, 0.3);
		this.meter.forget(KeyRange.ALL);
		assertThat(this.meter.busySlots(KeyRange.ALL, 60 * SECOND, 61 * SECOND)).isLessThan(0.01);
	}

	/**
	 * Ranges move back and forth while auditors pull long histories at a steady rate: a
	 * few reads of a second more or less in the last ten seconds looked like load that
	 * had become uneven.
	 */
	@Test
	void aFewLongReadsByChanceAreNoChangeOfLoad() {
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
