package org.brasspier.core.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.brasspier.core.KeyHash;
import org.brasspier.core.ServiceName;

/**
 * A snapshot of all assignments. A stale snapshot costs one redirect but never makes a
 * request run at the wrong instance, because the owner makes the final decision.
 * Immutable and thread-safe; a look-up takes O(log ranges).
 */
public final class RouteTable {

	/** The table without assignments. */
	public static final RouteTable EMPTY = new RouteTable(0, Map.of());

	private final long version;

	private final Map<ServiceName, TreeMap<Long, Assignment>> byService;

	private RouteTable(long version, Map<ServiceName, TreeMap<Long, Assignment>> byService) {
		this.version = version;
		this.byService = byService;
	}

	/**
	 * Builds a snapshot.
	 * @param version the version of the row that it was read from; higher is newer
	 * @param assignments the assignments of each service
	 * @return the snapshot
	 */
	public static RouteTable of(long version, Map<ServiceName, List<Assignment>> assignments) {
		return new RouteTable(version,
				assignments.entrySet()
					.stream()
					.collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, (entry) -> index(entry.getValue()))));
	}

	private static TreeMap<Long, Assignment> index(List<Assignment> assignments) {
		return assignments.stream()
			.collect(Collectors.toMap((assignment) -> assignment.range().low(), (assignment) -> assignment, (a, b) -> {
				throw new IllegalArgumentException("%s and %s begin at the same point".formatted(a, b));
			}, TreeMap::new));
	}

	/**
	 * Returns the version of the row that this snapshot was read from.
	 * @return 0 if nothing was read yet
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Finds the assignment of a point.
	 * @param service the service
	 * @param hash the point
	 * @return the assignment that covers the point, if any is known
	 */
	public Optional<Assignment> find(ServiceName service, KeyHash hash) {
		return Optional.ofNullable(this.byService.get(service))
			.map((index) -> index.floorEntry(hash.point()))
			.map(Map.Entry::getValue)
			.filter((assignment) -> assignment.range().contains(hash));
	}

	/**
	 * Returns all assignments of a service, in the order of their ranges.
	 * @param service the service
	 * @return an empty list if the service is unknown
	 */
	public List<Assignment> assignments(ServiceName service) {
		TreeMap<Long, Assignment> index = this.byService.get(service);
		return (index != null) ? List.copyOf(index.values()) : List.of();
	}

}
