package org.brasspier.core.mesh;

import java.time.Duration;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.brasspier.core.RequestClass;
import org.brasspier.core.ServiceName;
import org.brasspier.core.admission.AdmissionSettings;
import org.brasspier.core.admission.AdmissionSettings.ClassRules;

/**
 * A complete configuration as operators wrote it. Immutable and thread-safe.
 */
public final class RoutingConfig {

	/**
	 * The placeholder until a configuration is known; it has no routes, so every request
	 * is rejected.
	 */
	public static final RoutingConfig NONE = new RoutingConfig(0, List.of(), List.of(), CallerLimits.DEFAULT);

	/**
	 * The share of the target latency that a request may be expected to wait when it is
	 * admitted. With the run itself, which takes about a third of the target in current
	 * deployments, the answer arrives in time; a request that must wait longer is better
	 * sent to another server.
	 */
	private static final double MAX_EXPECTED_WAIT_SHARE = 0.6;

	/** A run is assumed to take a quarter of the target until one has been observed. */
	private static final int INITIAL_RUN_DIVISOR = 4;

	/**
	 * The share of the slots that is guaranteed to lookups or postings although calls
	 * between backend servers have precedence: those calls are short, and a parent
	 * request that holds a slot elsewhere waits for each of them.
	 */
	private static final double GUARANTEED_SHARE = 0.5;

	/**
	 * Configurations may have hundreds of routes; a log line lists only the first ones.
	 */
	private static final int MAX_SUMMARY_ROUTES = 8;

	private final long version;

	private final List<RouteRule> routes;

	private final Map<ServiceName, ServiceRule> services;

	private final CallerLimits limits;

	private final Map<String, List<RouteRule>> byHost;

	private final Map<String, RouteRule> byName;

	private final Map<ServiceName, Integer> leastUrgentLookup = new HashMap<>();

	/**
	 * Creates a configuration.
	 * @param version its version; a higher one replaces a lower one; 0 for none
	 * @param routes the routes
	 * @param services the services
	 * @param limits the limits for callers
	 * @throws IllegalArgumentException if a route names a service that is not configured
	 */
	public RoutingConfig(long version, List<RouteRule> routes, List<ServiceRule> services, CallerLimits limits) {
		this.version = version;
		this.routes = List.copyOf(routes);
		this.services = services.stream().collect(Collectors.toUnmodifiableMap(ServiceRule::name, Function.identity()));
		this.limits = limits;
		this.byHost = this.routes.stream().collect(Collectors.groupingBy((rule) -> lowerCase(rule.host())));
		this.byHost.replaceAll((host, rules) -> longestPrefixFirst(rules));
		this.byName = this.routes.stream()
			.collect(Collectors.toUnmodifiableMap(RouteRule::name, Function.identity(), (first, other) -> first));
		this.routes.forEach(this::checkServices);
		this.routes.stream().filter(RouteRule::idempotent).forEach(this::noteRank);
	}

	private static String lowerCase(String host) {
		return host.toLowerCase(Locale.ROOT);
	}

	private void noteRank(RouteRule route) {
		route.services().forEach((part) -> this.leastUrgentLookup.merge(part.service(), route.rank(), Math::max));
	}

	private static List<RouteRule> longestPrefixFirst(List<RouteRule> rules) {
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
	 * Returns the version.
	 * @return 0 for none
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns whether a configuration is known at all.
	 * @return false for {@link #NONE}
	 */
	public boolean isKnown() {
		return this.version > 0;
	}

	/**
	 * Returns the limits for callers.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Returns a service's rule.
	 * @param service the service
	 * @return empty if it is not configured
	 */
	public Optional<ServiceRule> service(ServiceName service) {
		return Optional.ofNullable(this.services.get(service));
	}

	/**
	 * Finds the route of a request: the one for its host with the longest matching path
	 * prefix.
	 * @param host the host that the request names; case is ignored
	 * @param path its path
	 * @return empty if there is none
	 */
	public Optional<RouteRule> route(String host, String path) {
		return this.byHost.getOrDefault(lowerCase(host), List.of())
			.stream()
			.filter((rule) -> path.startsWith(rule.prefix()))
			.findFirst();
	}

	/**
	 * Returns a route by its name.
	 * @param name the name, as another daemon sent it
	 * @return empty if this configuration has no such route
	 */
	public Optional<RouteRule> route(String name) {
		return Optional.ofNullable(this.byName.get(name));
	}

	/**
	 * Returns the number of services.
	 * @return at least 0
	 */
	public int serviceCount() {
		return this.services.size();
	}

	/**
	 * Returns the class under which a service's backend servers queue the requests of a
	 * route. Lookups that are more urgent than others of the same service are assumed to
	 * be calls between backend servers and have precedence, because rejecting one wastes
	 * the slot that its parent request holds elsewhere. Without this, a tenth of the
	 * bookings failed under load because the calls they make waited behind other lookups.
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
	 * Returns the classes in which a service's backend servers queue requests of several
	 * ranks.
	 * @param service the service
	 * @return the classes
	 */
	public Set<RequestClass> classesWithSeveralRanks(ServiceName service) {
		Map<RequestClass, Set<Integer>> ranks = new EnumMap<>(RequestClass.class);
		this.routes.stream()
			.filter((route) -> route.services().stream().anyMatch((part) -> part.service().equals(service)))
			.forEach((route) -> ranks.computeIfAbsent(requestClass(route, service), (key) -> new HashSet<>())
				.add(route.rank()));
		ranks.values().removeIf((distinct) -> distinct.size() < 2);
		return Set.copyOf(ranks.keySet());
	}

	/**
	 * Summarizes the first routes for logs.
	 * @return name, rank and services of each
	 */
	public String summary() {
		return this.routes.stream()
			.limit(MAX_SUMMARY_ROUTES)
			.map((route) -> route.name() + " rank " + route.rank() + " to "
					+ route.services().stream().map((part) -> part.service().value()).toList())
			.collect(Collectors.joining(", "));
	}

	/**
	 * Returns the admission settings of a service's backend servers. Waits are derived
	 * from the target latencies of the routes, so that a queue never holds a request that
	 * would be answered too late.
	 * @param service the service
	 * @return rules for each class
	 */
	public AdmissionSettings admissionSettings(ServiceName service) {
		return admissionSettings(service, (route, requestClass) -> requestClass);
	}

	/**
	 * Returns the admission settings of a service's backend servers that assign other
	 * classes than {@link #requestClass}.
	 * @param service the service
	 * @param classes returns the class of a route's requests from its name and the class
	 * that this configuration gives it
	 * @return rules for each class
	 */
	public AdmissionSettings admissionSettings(ServiceName service,
			BiFunction<String, RequestClass, RequestClass> classes) {
		Map<RequestClass, ClassRules> rules = new EnumMap<>(AdmissionSettings.DEFAULT.classes());
		for (RequestClass requestClass : RequestClass.values()) {
			target(service, requestClass, classes)
				.ifPresent((target) -> rules.put(requestClass, rules(requestClass, target)));
		}
		return new AdmissionSettings(rules);
	}

	private Optional<Duration> target(ServiceName service, RequestClass requestClass,
			BiFunction<String, RequestClass, RequestClass> classes) {
		return this.routes.stream()
			.filter((route) -> classes.apply(route.name(), requestClass(route, service)) == requestClass)
			.filter((route) -> route.services().stream().anyMatch((part) -> part.service().equals(service)))
			.map(RouteRule::targetLatency)
			.max(Comparator.naturalOrder());
	}

	private static ClassRules rules(RequestClass requestClass, Duration target) {
		Duration maxExpectedWait = Duration.ofNanos((long) (target.toNanos() * MAX_EXPECTED_WAIT_SHARE));
		double guaranteedShare = (requestClass == RequestClass.INTERNAL) ? 1 : GUARANTEED_SHARE;
		return new ClassRules(maxExpectedWait, target, guaranteedShare, target.dividedBy(INITIAL_RUN_DIVISOR));
	}

}
