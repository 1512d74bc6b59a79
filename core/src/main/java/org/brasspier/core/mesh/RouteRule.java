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
	 * The timeout, in target latencies, from which a route accepts late answers.
	 */
	private static final int LATE_TIMEOUT_TARGETS = 3;

	/**
	 * The shortest target latency of a route that accepts late answers. A caller that
	 * comes back after a pause is always late if its target is shorter.
	 */
	private static final Duration MIN_LATE_TARGET = Duration.ofMillis(500);

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

	/**
	 * Returns whether operators prefer a late answer to none: they let requests wait for
	 * several target latencies. Callers of such a route that come back at the time that
	 * they were told go before new ones even if their target latency has passed. On other
	 * routes that would only make new requests late in their stead.
	 * @return true if so
	 */
	public boolean acceptsLateAnswers() {
		return this.targetLatency.compareTo(MIN_LATE_TARGET) >= 0
				&& this.timeout.compareTo(this.targetLatency.multipliedBy(LATE_TIMEOUT_TARGETS)) >= 0;
	}

}
