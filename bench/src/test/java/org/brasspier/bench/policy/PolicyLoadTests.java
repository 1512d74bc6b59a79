package org.brasspier.bench.policy;

import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Runs the same recorded loads with the product's policy and with the naive strategy in
 * virtual time, so that the results are the same on each machine and in each run.
 */
class PolicyLoadTests {

	private static final long SEED = 7;

	static Stream<Deployment> deployments() {
		return Stream.of(Deployment.LAKESHORE, Deployment.KLIRING);
	}

	/**
	 * At three times the capacity, callers wait in a queue that only grows, are answered
	 * too late and send again. Requests that can't be served must be refused.
	 */
	@ParameterizedTest
	@MethodSource("deployments")
	void goodputHoldsAtThreeTimesCapacityWhileTheNaiveStrategyCollapses(Deployment deployment) {
		Comparison comparison = run(deployment, "saturation-x3");
		assertThat(comparison.policy().goodput()).isAtLeast(0.95);
		assertThat(comparison.naive().goodput()).isLessThan(0.5);
		assertThat(comparison.policy().ranTwice()).isEqualTo(0);
		assertThat(comparison.naive().ranTwice()).isGreaterThan(0);
	}

	@ParameterizedTest
	@MethodSource("deployments")
	void answeredLookupsAtSaturationTakeThreeTimesTheUnloadedTimeAtMost(Deployment deployment) {
		double unloaded = runPolicy(deployment, Load.get("unloaded")).lookupP99Millis();
		assertThat(runPolicy(deployment, Load.get("saturation-x1.5")).lookupP99Millis()).isAtMost(3 * unloaded);
		assertThat(runPolicy(deployment, Load.get("saturation-x3")).lookupP99Millis()).isAtMost(3 * unloaded);
	}

	/**
	 * Long audit reads can occupy all slots, so that a lookup waits for half a second.
	 * Audit reads must still use all the capacity that lookups leave.
	 */
	@ParameterizedTest
	@MethodSource("deployments")
	void longAuditReadsNeitherDelayLookupsNorStarve(Deployment deployment) {
		double unloaded = runPolicy(deployment, Load.get("unloaded")).lookupP99Millis();
		Figures mixed = runPolicy(deployment, Load.get("long-and-short"));
		assertThat(mixed.lookupP99Millis()).isAtMost(1.5 * unloaded);
		assertThat(mixed.goodput()).isAtLeast(0.88);
	}

	/**
	 * One server takes five times as long while it reports itself healthy. Lookups of
	 * keys on other servers must not become slower.
	 */
	@ParameterizedTest
	@MethodSource("deployments")
	void oneSlowServerDoesNotSlowLookupsOnOtherServers(Deployment deployment) {
		Load slow = Load.get("slow-server-x5");
		Load healthy = new Load("well", true, slow.seconds(), slow.settleSeconds(), slow.utilization(), slow.classes(),
				slow.keys(), Load.Faults.NONE);
		double baselineMillis = runPolicy(deployment, healthy).elsewhereP99Millis();
		assertThat(runPolicy(deployment, slow).elsewhereP99Millis()).isAtMost(1.2 * baselineMillis);
	}

	/**
	 * One caller sends ten times as much as each other caller, more than can be served,
	 * so that the requests of the others wait behind its own. Its own requests must be
	 * delayed or refused instead.
	 */
	@ParameterizedTest
	@MethodSource("deployments")
	void oneCallerThatSendsTenTimesItsShareDoesNotStarveOthers(Deployment deployment) {
		double unloaded = runPolicy(deployment, Load.get("unloaded")).lookupP99Millis();
		Comparison comparison = run(deployment, "one-office-x10");
		assertThat(comparison.policy().othersGoodput()).isAtLeast(0.9);
		assertThat(comparison.policy().othersLookupP99Millis()).isAtMost(3 * unloaded);
		assertThat(comparison.naive().othersGoodput()).isLessThan(0.5);
	}

	@ParameterizedTest
	@MethodSource("deployments")
	void loadStaysEvenUnderSkewedDemand(Deployment deployment) {
		assertThat(runPolicy(deployment, Load.get("zipf-1.2")).imbalance()).isAtMost(1.15);
		assertThat(runPolicy(deployment, Load.get("hot-keys-change")).imbalance()).isAtMost(1.15);
	}

	@ParameterizedTest
	@MethodSource("deployments")
	void nothingMovesOnSteadyLoad(Deployment deployment) {
		Comparison steady = run(deployment, "steady");
		assertThat(steady.policy().moves()).isEqualTo(0);
		assertThat(steady.naive().moves()).isGreaterThan(100);
	}

	@ParameterizedTest
	@MethodSource("deployments")
	void aLostFailureDomainMovesOnlyLittleMoreThanItOwned(Deployment deployment) {
		Figures policy = runPolicy(deployment, Load.get("domain-lost"));
		double moved = policy.lossChurn() + policy.balanceChurnHourly() * 180 / 3600;
		assertThat(moved).isAtMost(1.1 / deployment.servers());
	}

	/**
	 * All servers stall for five seconds. Queued requests are then late and their callers
	 * send again, so that the naive strategy keeps answering too late and never recovers.
	 */
	@ParameterizedTest
	@MethodSource("deployments")
	void afterAFullStallAllRequestsAreAnsweredAgainWithinASecond(Deployment deployment) {
		Comparison stall = run(deployment, "full-stall");
		assertThat(stall.policy().recoveryMillis()).isGreaterThan(0);
		assertThat(stall.policy().recoveryMillis()).isAtMost(1000);
		assertThat(stall.naive().recoveryMillis()).isEqualTo(-1);
	}

	private static Figures runPolicy(Deployment deployment, Load load) {
		return Simulation.runPolicy(deployment, load, load.record(deployment, SEED));
	}

	private static Comparison run(Deployment deployment, String load) {
		return Comparison.run(deployment, Load.get(load), SEED);
	}

}
