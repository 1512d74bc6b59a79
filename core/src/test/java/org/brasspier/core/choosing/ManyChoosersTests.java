package org.brasspier.core.choosing;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Load: lookups of one service that come in through very many daemons, a few a second
 * through each, and need seven tenths of the slots of servers that differ in speed.
 */
class ManyChoosersTests {

	private static final ChoosersModel.Load SEVEN_TENTHS = new ChoosersModel.Load(25, 464, 152, 20);

	// Guards against daemons with little traffic each that send nearly every lookup to a
	// server for no other reason than that they have not asked it for a while.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4 })
	void seventyFourDaemonsServeLookupsInTimeAsFewDaemonsDo(long seed) {
		ChoosersModel.Result result = new ChoosersModel(74, SEVEN_TENTHS, seed).play();
		assertThat(result.inTime()).isAtLeast(0.9);
		assertThat(result.refused()).isAtMost(0.02);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2 })
	void fewDaemonsServeLookupsInTime(long seed) {
		ChoosersModel.Result result = new ChoosersModel(8, SEVEN_TENTHS, seed).play();
		assertThat(result.inTime()).isAtLeast(0.9);
		assertThat(result.refused()).isAtMost(0.02);
	}

}
