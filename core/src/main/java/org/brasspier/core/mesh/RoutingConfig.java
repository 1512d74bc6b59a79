package org.brasspier.core.mesh;

import java.time.Duration;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.brasspier.core.RequestClass;
import org.brasspier.core.ServiceName;
import org.brasspier.core.admission.AdmissionSettings;
import org.brasspier.core.admission.AdmissionSettings.ClassRules;

/**
 * A configuration as operators wrote it, in full. Immutable and thread-safe.
 */
public final class RoutingConfig {

	/** Known before any configuration is; every request is turned away under it. */
	public static final RoutingConfig NONE = new RoutingConfig(0, List.of(), List.of(), CallerLimits.DEFAULT);

	/**
	 * How much of the target latency a request may be expected to wait when it is let in.
	 * With the run itself, which is about a third of the target in the deployments at
	 * hand, the answer comes in time; what must wait longer is better off elsewhere.
	 */
	private static final double LET_IN_SHARE = 0.6;

	/** A run takes about a quarter of the target until one has been observed. */
	private static final int FIRST_GUESS_DIVISOR = 4;

	/**
	 * A lookup or posting is sure of this share of the slots while calls of other backend
	 * servers go first: those calls are short, and a parent that holds a slot elsewhere
	 * waits for each of them.
	 */
	private static final double SURE_SHARE = 0.5;

	/** Configurations may have hundreds of routes; a log line has room for some. */
	private static final int SUMMARY_ROUTES = 8;

	private final long version;

	private final List<RouteRule> routes;

	private final Map<ServiceName, ServiceRule> services;

	private final CallerLimits limits;

	private final Map<String, List<RouteRule>> byHost;

	private final Map<ServiceName, Integer> leastUrgentLookup = new HashMap<>();

	/**
	 * Creates a configuration.
	 * @param version its version; a higher one replaces a lower one; 0 for none
	 * @param routes the routes
	 * @param services the services
	 * @param limits what callers may send
	 * @throws IllegalArgumentException if a route leads to a service that isn't there
	 */
	public RoutingConfig(long version, List<RouteRule> routes, List<ServiceRule> services, CallerLimits limits) {
		this.version = version;
		this.routes = List.copyOf(routes);
		this.services = services.stream().collect(Collectors.toUnmodifiableMap(ServiceRule::name, Function.identity()));
		this.limits = limits;
		this.byHost = this.routes.stream().collect(Collectors.groupingBy(RouteRule::host));
		this.byHost.replaceAll((host, rules) -> longestFirst(rules));
		this.routes.forEach(this::checkServices);
		this.routes.stream().filter(RouteRule::idempotent).forEach(this::noteRank);
	}

	private void noteRank(RouteRule route) {
		route.services().forEach((part) -> this.leastUrgentLookup.merge(part.service(), route.rank(), Math::max));
	}

	private static List<RouteRule> longestFirst(List<RouteRule> rules) {
		Comparator<RouteRule> byLength = Comparator.comparingInt((rule) -> rule.prefix().length());
		return rules.stream().sorted(byLength.reversed()).toList();
	}

	private void checkServices(RouteRule route) {
		route.services().stream().filter((part) -> !this.services.containsKey(part.service())).forEach((part) -> {
			throw new IllegalArgumentException(
					"route %s leads to service %s, which is not configured".formatted(route.name(), part.service()));
		});
	}

	/**
	 * The version.
	 * @return 0 for none
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Whether a configuration is known at all.
	 * @return false for {@link #NONE}
	 */
	public boolean isKnown() {
		return this.version > 0;
	}

	/**
	 * What callers may send.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * A service's rule.
	 * @param service the service
	 * @return empty if it is not configured
	 */
	public Optional<ServiceRule> service(ServiceName service) {
		return Optional.ofNullable(this.services.get(service));
	}

	/**
	 * The route of a request: the one of its host with the longest prefix of its path.
	 * @param host the host that the request names
	 * @param path its path
	 * @return empty if there is none
	 */
	public Optional<RouteRule> route(String host, String path) {
		return this.byHost.getOrDefault(host, List.of())
			.stream()
			.filter((rule) -> path.startsWith(rule.prefix()))
			.findFirst();
	}

	/**
	 * How a service's backend servers queue the requests of a route. Lookups that are
	 * more urgent than others of the same service are taken for calls of backend servers
	 * to each other and go first: turning one away wastes the slot that its parent holds
	 * elsewhere. Without it, a tenth of the bookings failed under load because the calls
	 * they make waited behind other lookups.
	 * @param route the route
	 * @param service the service
	 * @return the class
	 */
	public RequestClass requestClass(RouteRule route, ServiceName service) {
		if (!route.idempotent()) {
			return RequestClass.POSTING;
		}
		boolean first = route.rank() < this.leastUrgentLookup.getOrDefault(service, 0);
		return first ? RequestClass.INTERNAL : RequestClass.LOOKUP;
	}

	/**
	 * The first routes in short, for logs.
	 * @return name, rank and services of each
	 */
	public String summary() {
		return this.routes.stream()
			.limit(SUMMARY_ROUTES)
			.map((route) -> route.name() + " rank " + route.rank() + " to "
					+ route.services().stream().map((part) -> part.service().value()).toList())
			.collect(Collectors.joining(", "));
	}

	/**
	 * How a backend server of a service queues its requests. Waits follow the target
	 * latencies of the routes, so that a queue never holds what would come too late.
	 * @param service the service
	 * @return rules for each class
	 */
	public AdmissionSettings admissionSettings(ServiceName service) {
		Map<RequestClass, ClassRules> rules = new EnumMap<>(AdmissionSettings.DEFAULT.classes());
		for (RequestClass requestClass : RequestClass.values()) {
			target(service, requestClass).ifPresent((target) -> rules.put(requestClass, rules(requestClass, target)));
		}
		return new AdmissionSettings(rules);
	}

	private Optional<Duration> target(ServiceName service, RequestClass requestClass) {
		return this.routes.stream()
			.filter((route) -> requestClass(route, service) == requestClass)
			.filter((route) -> route.services().stream().anyMatch((part) -> part.service().equals(service)))
			.map(RouteRule::targetLatency)
			.max(Comparator.naturalOrder());
	}

	private static ClassRules rules(RequestClass requestClass, Duration target) {
		Duration letIn = Duration.ofNanos((long) (target.toNanos() * LET_IN_SHARE));
		double sure = (requestClass == RequestClass.INTERNAL) ? 1 : SURE_SHARE;
		return new ClassRules(letIn, target, sure, target.dividedBy(FIRST_GUESS_DIVISOR));
	}

}
