package org.brasspier.core.ownership;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Long random runs: one minute of faults of every kind, several at once, then a quiet
 * period after which everything must be served again.
 */
class RandomFaultsTests {

	private static final int RANGES = 4;

	// Guards against two servers that answer for one key, and against a key that is never
	// served again. Pauses, losses, partitions, lost answers and late writes occur in an
	// order determined by the seed.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25,
			26, 27, 28, 29, 30 })
	void noRangeIsServedTwiceAndAllAreServedInTheEnd(long seed) {
		CellModel cell = new CellModel(CellModel.Setup.standard(RANGES), seed);
		FaultSchedule faults = new FaultSchedule(cell, seed);
		faults.start();
		faults.run(60_000);
		faults.endFaults();
		assertThat(cell.violations).isEmpty();
		cell.runUntil(60_000, cell::allServed);
		cell.run(3000);
		assertThat(cell.violations).isEmpty();
		assertWithMessage("served at %s: %s", cell.now, cell.storedRow).that(cell.allServed()).isTrue();
	}

}
