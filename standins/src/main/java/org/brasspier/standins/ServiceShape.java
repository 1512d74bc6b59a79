package org.brasspier.standins;

/**
 * One service of a deployment. Immutable and thread-safe.
 *
 * @param name the service's name
 * @param sharded whether it is divided by key
 * @param servers number of backend servers
 * @param slots number of orders that each server runs concurrently
 * @param connections number of connections that each server accepts
 * @param checksFences whether the servers refuse old fences
 */
public record ServiceShape(String name, boolean sharded, int servers, int slots, int connections,
		boolean checksFences) {

	/**
	 * Checks that the numbers are positive.
	 * @throws IllegalArgumentException if one is not positive
	 */
	public ServiceShape {
		if (servers < 1 || slots < 1 || connections < 1) {
			throw new IllegalArgumentException("servers %d, slots %d and connections %d must be at least 1"
				.formatted(servers, slots, connections));
		}
	}

}
