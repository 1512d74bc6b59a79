package org.brasspier.core.choosing;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Simulates lookups of one service that arrive through many daemons, a few per second
 * through each, and need most of the slots of servers that differ in speed.
 */
class ManyDaemonsTests {

	private static final ManyDaemonsModel.Load LOAD_70_PERCENT = new ManyDaemonsModel.Load(25, 464, 152, 20, 1);

	private static final ManyDaemonsModel.Load LOAD_90_PERCENT = new ManyDaemonsModel.Load(25, 590, 152, 20, 1);

	private static final ManyDaemonsModel.Load THIRD_BECOMES_SLOW = new ManyDaemonsModel.Load(25, 330, 152, 12, 4);

	/** 1.5 times the load that the servers can run. */
	private static final ManyDaemonsModel.Load SATURATED = new ManyDaemonsModel.Load(9, 355, 152, 40, 1);

	/** A request is given up after two servers have refused it. */
	private static final int MAX_SENDS_EACH = 2;

	// Guards against daemons with little traffic that send nearly every lookup to a
	// server only because they have not chosen it for some time.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4 })
	void lookupsThrough74DaemonsAreAnsweredInTime(long seed) {
		ManyDaemonsModel.Result result = new ManyDaemonsModel(74, LOAD_70_PERCENT, seed).run();
		assertThat(result.inTime()).isAtLeast(0.9);
		assertThat(result.refused()).isAtMost(0.02);
	}

	// Guards against daemons that queue requests at a server while others are idle,
	// because each daemon has too few observations of the servers.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4 })
	void requestsOfManyDaemonsFindFreeSlotsAt90PercentLoad(long seed) {
		ManyDaemonsModel.Result result = new ManyDaemonsModel(74, LOAD_90_PERCENT, seed).run();
		assertThat(result.inTime()).isAtLeast(0.95);
		assertThat(result.refused()).isAtMost(0.02);
	}

	// Guards against servers that have become slow and are chosen until each of many
	// daemons has observed it.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4 })
	void requestsOfManyDaemonsFindFreeSlotsWhenAThirdOfTheServersBecomesSlow(long seed) {
		ManyDaemonsModel.Result result = new ManyDaemonsModel(74, THIRD_BECOMES_SLOW, seed).run();
		assertThat(result.inTime()).isAtLeast(0.9);
		assertThat(result.refused()).isAtMost(0.02);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2 })
	void lookupsThroughFewDaemonsAreAnsweredInTime(long seed) {
		ManyDaemonsModel.Result result = new ManyDaemonsModel(8, LOAD_70_PERCENT, seed).run();
		assertThat(result.inTime()).isAtLeast(0.9);
		assertThat(result.refused()).isAtMost(0.02);
	}

	// Guards against searches for free slots that triple the messages to the daemons of a
	// saturated service, which leaves them no time for their own traffic.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4 })
	void requestsOfManyDaemonsRarelySearchWhileNoSlotIsFree(long seed) {
		ManyDaemonsModel.Result result = new ManyDaemonsModel(74, SATURATED, seed).run();
		assertThat(result.sendsEach()).isAtMost(MAX_SENDS_EACH + 0.2);
	}

}
