package org.brasspier.standins;

import java.util.List;
import java.util.stream.IntStream;

/**
 * The size and the distances of a deployment. Immutable and thread-safe.
 *
 * @param name its name
 * @param domains its failure domains; the servers of each service are spread over them in
 * turn
 * @param services its services
 * @param peerDelayMillis one way between failure domains, in milliseconds
 * @param callerDelayMillis one way between callers and daemons, in milliseconds
 * @param twoPeerVersions whether every second daemon speaks the earliest peer protocol
 * only
 */
public record DeploymentShape(String name, List<String> domains, List<ServiceShape> services, double peerDelayMillis,
		double callerDelayMillis, boolean twoPeerVersions) {

	/**
	 * Copies the lists.
	 */
	public DeploymentShape {
		domains = List.copyOf(domains);
		services = List.copyOf(services);
	}

	/**
	 * A deployment whose daemons are all of this version.
	 * @param name its name
	 * @param domains its failure domains
	 * @param services its services
	 * @param peerDelayMillis one way between failure domains, in milliseconds
	 * @param callerDelayMillis one way between callers and daemons, in milliseconds
	 */
	public DeploymentShape(String name, List<String> domains, List<ServiceShape> services, double peerDelayMillis,
			double callerDelayMillis) {
		this(name, domains, services, peerDelayMillis, callerDelayMillis, false);
	}

	/**
	 * Lakeshore Hullwright Divers at today's size.
	 * @return the shape
	 */
	public static DeploymentShape lakeshore() {
		return new DeploymentShape("lakeshore", List.of("duluth", "milwaukee", "cleveland", "kingston"),
				List.of(new ServiceShape("hullbook", true, 4, 17, 120, true),
						new ServiceShape("jobdesk", false, 4, 17, 120, false),
						new ServiceShape("divecal", false, 4, 17, 120, false)),
				1, 8);
	}

	/**
	 * Perhimpunan Kliring Cek Jawa at today's size.
	 * @return the shape
	 */
	public static DeploymentShape kliring() {
		return new DeploymentShape("kliring", List.of("semarang-a", "semarang-b", "solo-hall"),
				List.of(new ServiceShape("teller-gate", true, 3, 6, 110, true),
						new ServiceShape("returns-desk", false, 3, 6, 110, false),
						new ServiceShape("audit-archive", false, 3, 6, 110, false)),
				1.5, 1);
	}

	/**
	 * A small one for tests: one service divided by key, whose servers check fences.
	 * @param servers how many backend servers, each in a failure domain of its own
	 * @return the shape
	 */
	public static DeploymentShape small(int servers) {
		return small(new ServiceShape("hullbook", true, servers, 8, 60, true));
	}

	/**
	 * A small one for tests: the given services over as many failure domains as the
	 * largest has servers.
	 * @param services the services
	 * @return the shape
	 */
	public static DeploymentShape small(ServiceShape... services) {
		int maxServers = List.of(services).stream().mapToInt(ServiceShape::servers).max().orElse(1);
		List<String> domains = IntStream.range(0, maxServers).mapToObj((i) -> "domain-" + i).toList();
		return new DeploymentShape("small", domains, List.of(services), 1, 1);
	}

	/**
	 * The same, as in the midst of a rolling replacement.
	 * @return the shape with daemons of two versions side by side
	 */
	public DeploymentShape withTwoPeerVersions() {
		return new DeploymentShape(this.name, this.domains, this.services, this.peerDelayMillis, this.callerDelayMillis,
				true);
	}

}
