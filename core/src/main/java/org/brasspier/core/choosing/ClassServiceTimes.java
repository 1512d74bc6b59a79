package org.brasspier.core.choosing;

import java.util.EnumMap;
import java.util.Map;

import org.brasspier.core.RequestClass;
import org.brasspier.core.cost.RouteCosts;

/**
 * Mean service time of each class and route over all servers, so that a server that
 * received the long requests is not considered slow. Not thread-safe.
 */
final class ClassServiceTimes {

	/**
	 * Weight of a new observation: a few hundred answers change the mean. Slower than the
	 * statistics of single servers, whose variation it averages.
	 */
	private static final double WEIGHT = 1.0 / 200;

	private static final double INITIAL_MEAN_NANOS = 10_000_000;

	private final Map<RequestClass, Double> meanNanos = new EnumMap<>(RequestClass.class);

	private final RouteCosts routes = new RouteCosts(WEIGHT);

	double relative(RequestClass requestClass, String route, long nanos) {
		double classMean = this.meanNanos.getOrDefault(requestClass, (double) nanos);
		double mean = this.routes.mean(requestClass, route, classMean);
		this.routes.observe(requestClass, route, nanos);
		this.meanNanos.put(requestClass, classMean + WEIGHT * (nanos - classMean));
		return nanos / Math.max(1, mean);
	}

	double mean(RequestClass requestClass) {
		return this.meanNanos.getOrDefault(requestClass, INITIAL_MEAN_NANOS);
	}

	double mean(RequestClass requestClass, String route) {
		return this.routes.mean(requestClass, route, mean(requestClass));
	}

}
