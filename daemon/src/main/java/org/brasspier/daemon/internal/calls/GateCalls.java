package org.brasspier.daemon.internal.calls;

import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import org.brasspier.core.Failure;
import org.brasspier.core.RequestClass;
import org.brasspier.core.ServiceName;
import org.brasspier.core.admission.Urgency;
import org.brasspier.core.calls.CallRoutes;
import org.brasspier.core.calls.CallThrottle;
import org.brasspier.core.calls.CompletionListener;
import org.brasspier.core.mesh.RoutingConfig;

/**
 * What one daemon knows of calls: at its gate, which routes to the local backend server
 * carry calls, and at its entry, how the calls of the local backend server end. Not
 * thread-safe: confined to the request thread.
 */
public final class GateCalls {

	private final CallRoutes routes = new CallRoutes();

	private final CallThrottle throttle = new CallThrottle(new SplittableRandom());

	private final ServiceName service;

	private final Supplier<RoutingConfig> config;

	private final BiConsumer<Set<String>, Set<String>> onChanged;

	private Set<RequestClass> severalRanks = Set.of();

	private long severalRanksVersion = -1;

	/**
	 * Creates the parts without observations.
	 * @param service the service of the local backend server
	 * @param config the configuration in force
	 * @param onChanged receives the former and the new call routes when they change
	 */
	public GateCalls(ServiceName service, Supplier<RoutingConfig> config,
			BiConsumer<Set<String>, Set<String>> onChanged) {
		this.service = service;
		this.config = config;
		this.onChanged = onChanged;
	}

	/**
	 * Records a request that has arrived at the gate.
	 * @param route name of its route; empty if unknown
	 * @param caller service of the instance at which it began
	 * @param now the current time, in nanoseconds
	 */
	public void onRequest(String route, ServiceName caller, long now) {
		Set<String> before = this.routes.known();
		if (this.routes.onRequest(route, caller, this.config.get().serviceCount(), now)) {
			this.onChanged.accept(before, this.routes.known());
		}
	}

	/**
	 * Returns whether a route to the local backend server is known to carry calls.
	 * @param route name of the route; empty if unknown
	 * @return whether it carries calls
	 */
	public boolean isCallRoute(String route) {
		return this.routes.isCallRoute(route);
	}

	/**
	 * Returns whether any route is known to carry calls.
	 * @return whether one is known
	 */
	public boolean anyKnown() {
		return !this.routes.known().isEmpty();
	}

	/**
	 * Returns the class by which the gate queues a request.
	 * @param route name of its route; empty if unknown
	 * @param sent the class that the sending daemon chose
	 * @return the class
	 */
	public RequestClass requestClass(String route, RequestClass sent) {
		return this.routes.requestClass(route, sent);
	}

	/**
	 * Returns the urgency of a request within its class. It is unknown as long as no call
	 * route is known and all routes of the class have one rank, so that requests are then
	 * ordered by their latest start alone.
	 * @param route name of its route; empty if unknown
	 * @param requestClass its class
	 * @return its urgency
	 */
	public Urgency urgency(String route, RequestClass requestClass) {
		RoutingConfig inForce = this.config.get();
		if (!anyKnown() && !hasSeveralRanks(inForce, requestClass)) {
			return Urgency.UNKNOWN;
		}
		return inForce.route(route)
			.map((rule) -> new Urgency(rule.rank(), rule.targetLatency().toNanos()))
			.orElse(Urgency.UNKNOWN);
	}

	private boolean hasSeveralRanks(RoutingConfig inForce, RequestClass requestClass) {
		if (inForce.version() != this.severalRanksVersion) {
			this.severalRanksVersion = inForce.version();
			this.severalRanks = inForce.classesWithSeveralRanks(this.service);
		}
		return this.severalRanks.contains(requestClass);
	}

	/**
	 * Decides whether a new request is refused since its calls are likely to be refused.
	 * @param route name of its route; empty if unknown
	 * @param now the current time, in nanoseconds
	 * @return why it is refused; empty if it is not
	 */
	public Optional<Failure> refusal(String route, long now) {
		return (route.isEmpty() || isCallRoute(route)) ? Optional.empty() : this.throttle.refusal(now);
	}

	/**
	 * Records that the local backend server starts a request.
	 * @param route name of its route; empty if unknown
	 * @param now the current time, in nanoseconds
	 */
	public void onRunStarted(String route, long now) {
		if (!isCallRoute(route)) {
			this.throttle.onRunStarted(now);
		}
	}

	/**
	 * Returns the listener for completed requests that began at this instance.
	 * @return the listener
	 */
	public CompletionListener completionListener() {
		return this.throttle;
	}

	/**
	 * Returns the number of routes that are known to carry calls.
	 * @return at least 0
	 */
	public int knownCount() {
		return this.routes.known().size();
	}

	/**
	 * Returns the number of requests refused because of their calls.
	 * @return at least 0
	 */
	public long refusedCount() {
		return this.throttle.refusedCount();
	}

}
