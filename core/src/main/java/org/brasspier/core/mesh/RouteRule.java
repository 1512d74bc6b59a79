package org.brasspier.core.mesh;

import java.time.Duration;
import java.util.List;

/**
 * One route of the configuration. Immutable and thread-safe.
 *
 * @param name the route's name
 * @param host the host that requests name, without a port
 * @param prefix the beginning of the paths; begins and ends with a slash
 * @param idempotent whether its requests may run more than once
 * @param timeout how long a request may be kept waiting
 * @param targetLatency the time within which an answer is worth most
 * @param rank its urgency, 0 is the most urgent
 * @param services where its requests go; at least one
 * @param maxAttempts to how many backend servers one request may be sent, at least 1
 */
public record RouteRule(String name, String host, String prefix, boolean idempotent, Duration timeout,
		Duration targetLatency, int rank, List<WeightedService> services, int maxAttempts) {

	/**
	 * Checks the rule.
	 * @throws IllegalArgumentException if a value is out of its range
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
