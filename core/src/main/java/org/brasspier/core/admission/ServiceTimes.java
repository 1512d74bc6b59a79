package org.brasspier.core.admission;

import java.util.EnumMap;
import java.util.Map;

import org.brasspier.core.RequestClass;

/**
 * How long requests of each class take on the backend server, from what was observed.
 * Made for servers whose own load figures lag or mislead. Not thread-safe.
 */
final class ServiceTimes {

	/**
	 * The weight of a new observation: some thirty requests change the estimate, a blink
	 * at 800 requests a second, while a single slow request does not.
	 */
	private static final double WEIGHT = 1.0 / 32;

	private final Map<RequestClass, Double> meanNanos = new EnumMap<>(RequestClass.class);

	private final Map<RequestClass, Boolean> observed = new EnumMap<>(RequestClass.class);

	ServiceTimes(AdmissionSettings settings) {
		settings.classes()
			.forEach((requestClass, rules) -> this.meanNanos.put(requestClass,
					(double) rules.initialServiceTime().toNanos()));
	}

	void observe(RequestClass requestClass, long nanos) {
		boolean first = this.observed.put(requestClass, Boolean.TRUE) == null;
		double weight = first ? 1 : WEIGHT;
		double before = mean(requestClass);
		this.meanNanos.put(requestClass, before + weight * (nanos - before));
	}

	// Takes a request that ended without an answer. That it took at least this long may
	// only raise the estimate.
	void observeAtLeast(RequestClass requestClass, long nanos) {
		if (nanos > mean(requestClass)) {
			observe(requestClass, nanos);
		}
	}

	double mean(RequestClass requestClass) {
		return this.meanNanos.getOrDefault(requestClass, 1.0);
	}

}
