package org.brasspier.bench.policy;

import java.util.List;

/**
 * The results of both strategies for the same recorded load.
 *
 * @param deployment the deployment's name
 * @param load the load's name
 * @param requests the number of recorded requests
 * @param policy the results of the product's policy
 * @param naive the results of the naive strategy
 */
record Comparison(String deployment, String load, int requests, Figures policy, Figures naive) {

	static Comparison run(Deployment deployment, Load load, long seed) {
		List<RecordedRequest> calls = load.record(deployment, seed);
		return new Comparison(deployment.name(), load.name(), calls.size(),
				Simulation.runPolicy(deployment, load, calls), Simulation.runNaive(deployment, load, calls));
	}

}
