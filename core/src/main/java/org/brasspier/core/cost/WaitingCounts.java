package org.brasspier.core.cost;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Number of waiting requests by route, so that their expected work is known without
 * visiting each of them. Not thread-safe.
 */
public final class WaitingCounts {

	private final Map<String, Integer> counts = new HashMap<>();

	/**
	 * Counts a request that starts to wait.
	 * @param route its route; empty if unknown
	 */
	public void add(String route) {
		this.counts.merge(route, 1, Integer::sum);
	}

	/**
	 * Removes a request that no longer waits.
	 * @param route its route; empty if unknown
	 */
	public void remove(String route) {
		this.counts.computeIfPresent(route, (key, count) -> (count > 1) ? count - 1 : null);
	}

	/**
	 * Returns the expected work of all waiting requests.
	 * @param mean the expected run time of a route
	 * @return the sum, in the unit of the mean
	 */
	public double sum(ToDoubleFunction<String> mean) {
		double sum = 0;
		for (Map.Entry<String, Integer> entry : this.counts.entrySet()) {
			sum += entry.getValue() * mean.applyAsDouble(entry.getKey());
		}
		return sum;
	}

}
