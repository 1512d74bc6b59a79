package org.brasspier.core.mesh;

import java.time.Duration;
import java.util.List;

/**
 * One route of the configuration. Immutable and thread-safe.
 *
 * @param name the route's name
 * @param host the requested host, without a port
 * @param prefix the path prefix; begins and ends with a slash
 * @param idempotent whether its requests may run more than once
 * @param timeout the maximum time until a request is answered
 * @param targetLatency the latency that answers should not exceed
 * @param rank its priority, 0 is the most urgent
 * @param services the services that its requests are distributed over; at least one
 * @param maxAttempts the maximum number of backend servers that a request may be sent to,
 * at least 1
 */
public record RouteRule(String name, String host, String prefix, boolean idempotent, Duration timeout,
		Duration targetLatency, int rank, List<WeightedService> services, int maxAttempts) {

	/**
	 * Validates the rule.
	 * @throws IllegalArgumentException if a value is out of range
	 */
	public RouteRule {
		services = List.copyOf(services);
		if (host.isEmpty() || !prefix.startsWith("/") || !prefix.endsWith("/")) {
			throw new IllegalArgumentException(
					"route %s: host '%s' must not be empty, prefix '%s' must begin and end with a slash".formatted(name,
							host, prefix));
		}
		if (!timeout.isPositive() || !targetLatency.isPositive() || maxAttempts < 1 || services.isEmpty()) {
			throw new IllegalArgumentException(
					"route %s: timeout %s, target latency %s, attempts %d and services %s must be positive"
						.formatted(name, timeout, targetLatency, maxAttempts, services));
		}
	}

}
