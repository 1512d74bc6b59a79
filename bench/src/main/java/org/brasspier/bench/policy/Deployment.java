package org.brasspier.bench.policy;

import org.brasspier.core.placement.PlacementWeights;

/**
 * A deployment at its present size: one service, a backend server in each failure domain.
 *
 * @param name the deployment's name
 * @param servers the backend servers of a service
 * @param slots the slots of each backend server
 * @param connections the connections of each backend server
 * @param callerNanos the one-way delay to callers
 * @param domainNanos the one-way delay between failure domains
 * @param weights the weights that its operators give to the placement objectives
 */
record Deployment(String name, int servers, int slots, int connections, long callerNanos, long domainNanos,
		PlacementWeights weights) {

	/** Crews wait on docks for answers, so unavailable time has the highest weight. */
	static final Deployment LAKESHORE = new Deployment("lakeshore", 4, 17, 120, 8 * VirtualTime.MILLI,
			VirtualTime.MILLI, new PlacementWeights(1, 1, 2));

	/**
	 * A busy bank's keys on one server lengthen its queue, so imbalance has the highest
	 * weight.
	 */
	static final Deployment KLIRING = new Deployment("kliring", 3, 6, 110, VirtualTime.MILLI, 3 * VirtualTime.MILLI / 2,
			new PlacementWeights(2, 1, 1));

	int totalSlots() {
		return this.servers * this.slots;
	}

}
