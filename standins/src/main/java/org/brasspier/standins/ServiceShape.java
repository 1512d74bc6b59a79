package org.brasspier.standins;

/**
 * One service of a deployment. Immutable and thread-safe.
 *
 * @param name the service's name
 * @param sharded whether it is divided by key
 * @param servers how many backend servers it has
 * @param slots how many orders each runs at once
 * @param connections how many connections each accepts
 * @param checksFences whether they refuse old fences
 */
public record ServiceShape(String name, boolean sharded, int servers, int slots, int connections,
		boolean checksFences) {

	/**
	 * Checks the numbers.
	 * @throws IllegalArgumentException if one is not positive
	 */
	public ServiceShape {
		if (servers < 1 || slots < 1 || connections < 1) {
			throw new IllegalArgumentException("servers %d, slots %d and connections %d must be at least 1"
				.formatted(servers, slots, connections));
		}
	}

}
