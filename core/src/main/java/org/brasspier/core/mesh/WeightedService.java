package org.brasspier.core.mesh;

import org.brasspier.core.ServiceName;

/**
 * A service that a route distributes requests to. Immutable and thread-safe.
 *
 * @param service the service
 * @param weight its share of the route's requests, relative to the others; at least 0
 */
public record WeightedService(ServiceName service, int weight) {

	/**
	 * Validates the weight.
	 * @throws IllegalArgumentException if it is negative
	 */
	public WeightedService {
		if (weight < 0) {
			throw new IllegalArgumentException("weight %d of service %s is negative".formatted(weight, service));
		}
	}

}
