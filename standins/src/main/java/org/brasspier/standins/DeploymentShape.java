package org.brasspier.standins;

import java.util.List;
import java.util.stream.IntStream;

/**
 * The size and the network delays of a deployment. Immutable and thread-safe.
 *
 * @param name its name
 * @param domains its failure domains; the servers of each service are assigned to them
 * round-robin
 * @param services its services
 * @param peerDelayMillis one-way delay between failure domains, in milliseconds
 * @param callerDelayMillis one-way delay between callers and daemons, in milliseconds
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
	 * Creates a deployment whose daemons all speak the latest peer protocol.
	 * @param name its name
	 * @param domains its failure domains
	 * @param services its services
	 * @param peerDelayMillis one-way delay between failure domains, in milliseconds
	 * @param callerDelayMillis one-way delay between callers and daemons, in milliseconds
	 */
	public DeploymentShape(String name, List<String> domains, List<ServiceShape> services, double peerDelayMillis,
			double callerDelayMillis) {
		this(name, domains, services, peerDelayMillis, callerDelayMillis, false);
	}

	/**
	 * The deployment of Lakeshore Hullwright Divers at its present size.
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
	 * The deployment of Perhimpunan Kliring Cek Jawa at its present size.
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
	 * A small deployment for tests: one service divided by key, whose servers check
	 * fences.
	 * @param servers number of backend servers, each in a failure domain of its own
	 * @return the shape
	 */
	public static DeploymentShape small(int servers) {
		return small(new ServiceShape("hullbook", true, servers, 8, 60, true));
	}

	/**
	 * A small deployment for tests: the given services, spread over as many failure
	 * domains as the largest of them has servers.
	 * @param services the services
	 * @return the shape
	 */
	public static DeploymentShape small(ServiceShape... services) {
		int maxServers = List.of(services).stream().mapToInt(ServiceShape::servers).max().orElse(1);
		List<String> domains = IntStream.range(0, maxServers).mapToObj((i) -> "domain-" + i).toList();
		return new DeploymentShape("small", domains, List.of(services), 1, 1);
	}

	/**
	 * The same deployment during a rolling upgrade.
	 * @return the shape with daemons that speak two versions of the peer protocol
	 */
	public DeploymentShape withTwoPeerVersions() {
		return new DeploymentShape(this.name, this.domains, this.services, this.peerDelayMillis, this.callerDelayMillis,
				true);
	}

}
