package org.brasspier.core.choosing;

import java.util.EnumMap;
import java.util.Map;

import org.brasspier.core.RequestClass;

/**
 * How long requests of a class usually take over all servers, so that a server that got
 * the long ones is not taken for a slow one. Not thread-safe.
 */
final class ClassServiceTimes {

	/** A few hundred answers: slower than the servers' own figures, which it levels. */
	private static final double WEIGHT = 1.0 / 200;

	private static final double FIRST_GUESS_NANOS = 10_000_000;

	private final Map<RequestClass, Double> meanNanos = new EnumMap<>(RequestClass.class);

	double relative(RequestClass requestClass, long nanos) {
		double mean = this.meanNanos.getOrDefault(requestClass, (double) nanos);
		this.meanNanos.put(requestClass, mean + WEIGHT * (nanos - mean));
		return nanos / Math.max(1, mean);
	}

	double mean(RequestClass requestClass) {
		return this.meanNanos.getOrDefault(requestClass, FIRST_GUESS_NANOS);
	}

}
