package org.brasspier.core.admission;

import java.util.EnumMap;
import java.util.Map;

import org.brasspier.core.RequestClass;
import org.brasspier.core.cost.RouteCosts;

/**
 * Observed service times of each class and route on the backend server. Used instead of
 * the servers' own load figures, which may lag or mislead. Not thread-safe.
 */
final class ServiceTimes {

	/**
	 * Weight of a new observation: about 30 requests change the estimate, which at 800
	 * requests per second takes an instant, while a single slow request does not.
	 */
	private static final double WEIGHT = 1.0 / 32;

	private final Map<RequestClass, Double> meanNanos = new EnumMap<>(RequestClass.class);

	private final Map<RequestClass, Boolean> observed = new EnumMap<>(RequestClass.class);

	private final RouteCosts routes = new RouteCosts(WEIGHT);

	ServiceTimes(AdmissionSettings settings) {
		settings.classes()
			.forEach((requestClass, rules) -> this.meanNanos.put(requestClass,
					(double) rules.initialServiceTime().toNanos()));
	}

	void observe(RequestClass requestClass, String route, long nanos) {
		this.routes.observe(requestClass, route, nanos);
		observe(requestClass, nanos);
	}

	private void observe(RequestClass requestClass, long nanos) {
		boolean first = this.observed.put(requestClass, Boolean.TRUE) == null;
		double weight = first ? 1 : WEIGHT;
		double before = mean(requestClass);
		this.meanNanos.put(requestClass, before + weight * (nanos - before));
	}

	// Records a request that ended without an answer. Its duration is a lower bound, so
	// it may only raise the estimate.
	void observeAtLeast(RequestClass requestClass, String route, long nanos) {
		this.routes.observeAtLeast(requestClass, route, nanos);
		if (nanos > mean(requestClass)) {
			observe(requestClass, nanos);
		}
	}

	double mean(RequestClass requestClass) {
		return this.meanNanos.getOrDefault(requestClass, 1.0);
	}

	double mean(RequestClass requestClass, String route) {
		return this.routes.mean(requestClass, route, mean(requestClass));
	}

	double mean(PendingRequest request) {
		return mean(request.requestClass(), request.route());
	}

	double highQuantile(PendingRequest request) {
		return this.routes.highQuantile(request.requestClass(), request.route(), mean(request.requestClass()));
	}

}
