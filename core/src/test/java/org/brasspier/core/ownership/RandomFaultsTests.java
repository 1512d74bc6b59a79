package org.brasspier.core.ownership;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Long random walks: a minute of faults of every kind, several at once, then a quiet time
 * in which everything must be served again.
 */
class RandomFaultsTests {

	private static final int RANGES = 4;

	// A user would see two servers answer for one key, or a key that nobody serves for
	// good.
	// Pauses, losses, cuts, lost answers and late writes come in an order that the seed
	// sets.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25,
			26, 27, 28, 29, 30 })
	void noTwoServeTheSameAndAllIsServedInTheEnd(long seed) {
		CellModel cell = new CellModel(CellModel.Setup.standard(RANGES), seed);
		FaultSchedule faults = new FaultSchedule(cell, seed);
		faults.start();
		faults.run(60_000);
		faults.heal();
		assertThat(cell.violations).isEmpty();
		cell.runUntil(60_000, cell::allServed);
		cell.run(3000);
		assertThat(cell.violations).isEmpty();
		assertWithMessage("served at %s: %s", cell.now, cell.stored).that(cell.allServed()).isTrue();
	}

}
