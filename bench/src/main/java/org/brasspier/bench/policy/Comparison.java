package org.brasspier.bench.policy;

import java.util.List;

/**
 * The same recorded load through both versions.
 *
 * @param deployment the deployment's name
 * @param load the load's name
 * @param requests how many requests were recorded
 * @param policy what the policy made of it
 * @param naive what the naive version made of it
 */
record Comparison(String deployment, String load, int requests, Figures policy, Figures naive) {

	static Comparison run(Deployment deployment, Load load, long seed) {
		List<RecordedRequest> calls = load.record(deployment, seed);
		return new Comparison(deployment.name(), load.name(), calls.size(),
				Simulation.runPolicy(deployment, load, calls), Simulation.runNaive(deployment, load, calls));
	}

}
