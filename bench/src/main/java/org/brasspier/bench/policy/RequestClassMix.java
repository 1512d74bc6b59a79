package org.brasspier.bench.policy;

import java.util.Map;
import java.util.random.RandomGenerator;

import org.brasspier.core.RequestClass;

/**
 * The distribution of requests over the classes, and their run times. Run times are
 * exponentially distributed, so that one in a hundred takes at least 4.6 times the mean.
 *
 * @param shares the share of requests of each class
 * @param meanNanos the mean run time of each class
 */
record RequestClassMix(Map<RequestClass, Double> shares, Map<RequestClass, Double> meanNanos) {

	private static final Map<RequestClass, Double> MEANS = Map.of(RequestClass.LOOKUP, 10e6, RequestClass.POSTING, 20e6,
			RequestClass.INTERNAL, 5e6, RequestClass.AUDIT, 100e6);

	/** The mix of a typical day. */
	static final RequestClassMix TYPICAL = new RequestClassMix(Map.of(RequestClass.LOOKUP, 0.6, RequestClass.POSTING,
			0.2, RequestClass.INTERNAL, 0.15, RequestClass.AUDIT, 0.05), MEANS);

	/** Auditors read long histories at night while lookups continue. */
	static final RequestClassMix LONG_AND_SHORT = new RequestClassMix(
			Map.of(RequestClass.LOOKUP, 0.6, RequestClass.POSTING, 0.15, RequestClass.INTERNAL, 0.15,
					RequestClass.AUDIT, 0.1),
			Map.of(RequestClass.LOOKUP, 10e6, RequestClass.POSTING, 20e6, RequestClass.INTERNAL, 5e6,
					RequestClass.AUDIT, 500e6));

	double meanRunNanos() {
		return this.shares.entrySet().stream().mapToDouble((entry) -> entry.getValue() * mean(entry.getKey())).sum();
	}

	RequestClass pick(RandomGenerator random) {
		double sample = random.nextDouble();
		for (RequestClass requestClass : RequestClass.values()) {
			sample -= this.shares.getOrDefault(requestClass, 0.0);
			if (sample < 0) {
				return requestClass;
			}
		}
		return RequestClass.LOOKUP;
	}

	long sampleRunNanos(RequestClass requestClass, RandomGenerator random) {
		return Math.max(1000, (long) (mean(requestClass) * random.nextExponential()));
	}

	private double mean(RequestClass requestClass) {
		return this.meanNanos.getOrDefault(requestClass, 0.0);
	}

}
