package org.brasspier.core.calls;

import java.time.Duration;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.brasspier.core.RequestClass;
import org.brasspier.core.ServiceName;

/**
 * Detects at a gate which routes carry calls, that is, requests that backend servers make
 * while they run other requests. Nothing in a request says so, but all calls of a route
 * come from instances of one service, whereas callers use the instances of all services.
 * Times are nanoseconds of one monotonic clock. Not thread-safe.
 */
public final class CallRoutes {

	/** Observations keep a sixteenth of their weight after 40 s. */
	private static final Duration HALF_LIFE = Duration.ofSeconds(10);

	/** Remembered requests below which nothing is concluded about a route. */
	private static final double MIN_REQUESTS = 50;

	/** Share of a route's requests that come from one service if it carries calls. */
	private static final double MIN_SHARE = 0.98;

	/**
	 * With fewer services, callers may use the instances of a single other service by
	 * chance or by configuration.
	 */
	private static final int MIN_SERVICES = 3;

	/**
	 * Interval between evaluations: at 30 requests per second, evaluating after each
	 * request would only repeat the result.
	 */
	private static final long EVALUATION_INTERVAL_NANOS = Duration.ofMillis(100).toNanos();

	private final Map<String, Callers> routes = new BoundedMap<>();

	private Set<String> known = Set.of();

	private long evaluatedNanos;

	private boolean evaluated;

	/**
	 * Records a request that has arrived at the gate.
	 * @param route name of its route; a request without a name is ignored
	 * @param caller service of the instance at which it began
	 * @param serviceCount number of services in the configuration
	 * @param now the current time, in nanoseconds
	 * @return whether the set of known call routes has changed
	 */
	public boolean onRequest(String route, ServiceName caller, int serviceCount, long now) {
		if (route.isEmpty()) {
			return false;
		}
		this.routes.computeIfAbsent(route, (key) -> new Callers()).add(caller, now);
		if (this.evaluated && now - this.evaluatedNanos < EVALUATION_INTERVAL_NANOS) {
			return false;
		}
		this.evaluated = true;
		this.evaluatedNanos = now;
		Set<String> before = this.known;
		this.known = evaluate(serviceCount, now);
		return !before.equals(this.known);
	}

	/**
	 * Returns whether a route is known to carry calls, as of the latest request.
	 * @param route name of the route; empty if unknown
	 * @return false if it carries requests of callers, or too few requests were observed
	 */
	public boolean isCallRoute(String route) {
		return this.known.contains(route);
	}

	/**
	 * Returns the routes that are known to carry calls.
	 * @return their names, in order
	 */
	public Set<String> known() {
		return this.known;
	}

	/**
	 * Returns the class by which the gate queues a request. As long as no call route is
	 * known, or the request's route has no name, that is the class that its sender chose.
	 * @param route name of the request's route; empty if unknown
	 * @param sent the class that the sending daemon chose
	 * @return the class
	 */
	public RequestClass requestClass(String route, RequestClass sent) {
		if (this.known.isEmpty() || route.isEmpty()) {
			return sent;
		}
		if (isCallRoute(route)) {
			return RequestClass.INTERNAL;
		}
		return (sent == RequestClass.INTERNAL) ? RequestClass.LOOKUP : sent;
	}

	private Set<String> evaluate(int serviceCount, long now) {
		if (serviceCount < MIN_SERVICES) {
			return Set.of();
		}
		Set<String> single = new TreeSet<>();
		int mixed = 0;
		for (Map.Entry<String, Callers> entry : this.routes.entrySet()) {
			Callers callers = entry.getValue();
			double total = callers.total(now);
			if (callers.largest(now) < MIN_SHARE * total) {
				mixed++;
			}
			else if (total >= MIN_REQUESTS) {
				single.add(entry.getKey());
			}
		}
		// If no route is mixed, callers may use the instances of one service only, so
		// nothing
		// is concluded.
		return (mixed > 0) ? Collections.unmodifiableSet(single) : Set.of();
	}

	/**
	 * Decaying numbers of one route's requests by calling service.
	 */
	private static final class Callers {

		private final Map<String, DecayingCount> counts = new BoundedMap<>();

		void add(ServiceName caller, long now) {
			this.counts.computeIfAbsent(caller.value(), (key) -> new DecayingCount(HALF_LIFE)).add(1, now);
		}

		double total(long now) {
			double total = 0;
			for (DecayingCount count : this.counts.values()) {
				total += count.value(now);
			}
			return total;
		}

		double largest(long now) {
			double largest = 0;
			for (DecayingCount count : this.counts.values()) {
				largest = Math.max(largest, count.value(now));
			}
			return largest;
		}

	}

}
