package org.brasspier.core.choosing;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Load: lookups of one service that come in through very many daemons, a few a second
 * through each, and need most of the slots of servers that differ in speed.
 */
class ManyDaemonsTests {

	private static final ManyDaemonsModel.Load SEVEN_TENTHS = new ManyDaemonsModel.Load(25, 464, 152, 20, 1);

	private static final ManyDaemonsModel.Load NINE_TENTHS = new ManyDaemonsModel.Load(25, 590, 152, 20, 1);

	private static final ManyDaemonsModel.Load THIRD_TURNS_SLOW = new ManyDaemonsModel.Load(25, 330, 152, 12, 4);

	/** Half as much again as the servers can run. */
	private static final ManyDaemonsModel.Load SATURATED = new ManyDaemonsModel.Load(9, 355, 152, 40, 1);

	/** A request is refused by two servers before it is given up. */
	private static final int MOST_TURNS_EACH = 2;

	// Guards against daemons with little traffic each that send nearly every lookup to a
	// server for no other reason than that they have not asked it for a while.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4 })
	void seventyFourDaemonsServeLookupsInTimeAsFewDaemonsDo(long seed) {
		ManyDaemonsModel.Result result = new ManyDaemonsModel(74, SEVEN_TENTHS, seed).play();
		assertThat(result.inTime()).isAtLeast(0.9);
		assertThat(result.refused()).isAtMost(0.02);
	}

	// Guards against daemons that queue requests at a server while others are idle, since
	// each of them knows too little of the servers.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4 })
	void requestsOfManyDaemonsFindTheFreeSlotsUpToNineTenthsOfTheLoad(long seed) {
		ManyDaemonsModel.Result result = new ManyDaemonsModel(74, NINE_TENTHS, seed).play();
		assertThat(result.inTime()).isAtLeast(0.95);
		assertThat(result.refused()).isAtMost(0.02);
	}

	// Guards against servers that have turned slow and are asked on until each of many
	// daemons has observed it.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4 })
	void requestsOfManyDaemonsFindTheFreeSlotsWhenAThirdOfTheServersTurnsSlow(long seed) {
		ManyDaemonsModel.Result result = new ManyDaemonsModel(74, THIRD_TURNS_SLOW, seed).play();
		assertThat(result.inTime()).isAtLeast(0.9);
		assertThat(result.refused()).isAtMost(0.02);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2 })
	void fewDaemonsServeLookupsInTime(long seed) {
		ManyDaemonsModel.Result result = new ManyDaemonsModel(8, SEVEN_TENTHS, seed).play();
		assertThat(result.inTime()).isAtLeast(0.9);
		assertThat(result.refused()).isAtMost(0.02);
	}

	// Guards against searches for free slots that triple the messages to the daemons
	// beside a saturated service, so that these have no time left for what they serve.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4 })
	void requestsOfManyDaemonsHardlySearchWhileNoSlotIsFree(long seed) {
		ManyDaemonsModel.Result result = new ManyDaemonsModel(74, SATURATED, seed).play();
		assertThat(result.sendsEach()).isAtMost(MOST_TURNS_EACH + 0.2);
	}

}
