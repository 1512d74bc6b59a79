package org.brasspier.bench.policy;

import org.brasspier.core.placement.PlacementWeights;

/**
 * A deployment at today's size: one service, a backend server in each failure domain.
 *
 * @param name the deployment's name
 * @param servers the backend servers of a service
 * @param slots the slots of each
 * @param connections the connections of each
 * @param callerNanos the way to callers, one way
 * @param domainNanos the way between failure domains, one way
 * @param weights how its operators weigh the measures
 */
record Deployment(String name, int servers, int slots, int connections, long callerNanos, long domainNanos,
		PlacementWeights weights) {

	/** Crews wait on docks: unavailable time counts most. */
	static final Deployment LAKESHORE = new Deployment("lakeshore", 4, 17, 120, 8 * VirtualTime.MILLI,
			VirtualTime.MILLI, new PlacementWeights(1, 1, 2));

	/** A hot bank's keys on one server grow the queue: imbalance counts most. */
	static final Deployment KLIRING = new Deployment("kliring", 3, 6, 110, VirtualTime.MILLI, 3 * VirtualTime.MILLI / 2,
			new PlacementWeights(2, 1, 1));

	int totalSlots() {
		return this.servers * this.slots;
	}

}
