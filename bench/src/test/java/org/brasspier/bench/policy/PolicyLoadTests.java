package org.brasspier.bench.policy;

import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * The same recorded load through the policy and the naive version, in virtual time: the
 * outcome for callers is the same on each machine and each run.
 */
class PolicyLoadTests {

	private static final long SEED = 7;

	static Stream<Deployment> deployments() {
		return Stream.of(Deployment.LAKESHORE, Deployment.KLIRING);
	}

	/**
	 * Three times as many callers as can be served: each waits in a queue that only
	 * grows, is answered too late, and sends again. What can't be served must be refused.
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
	 * Auditors pull long histories and all slots hold one: a crew's lookup waits for half
	 * a second. Audit reads must use what the lookups leave, and not less.
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
	 * A server takes five times as long while its health says that it is well. Crews
	 * whose keys are on other servers must not notice.
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
	 * One office's script sends ten times what each other office does, more than can be
	 * served: the others' crews wait behind it. Its own requests must pay for that.
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
	 * All servers stop for five seconds; what waited is late, its callers send again, and
	 * the naive version never gets out of answering too late.
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
