package org.brasspier.bench.capacity;

/**
 * The size that the users stated that they expect in two years, and the limits of the
 * platform. Immutable and thread-safe.
 *
 * @param nodes instances
 * @param requestsPerSecond requests a second over all instances
 * @param regions regions
 * @param domains failure domains
 * @param changesPerDay changes of the configuration a day
 * @param lossesPerDay instances that fail a day
 * @param replacementsPerDay instances that are restarted or replaced a day
 * @param hotKeys the hottest keys, which change within minutes
 * @param controlBytes bytes a second that a node may use for control traffic
 * @param tableWrites writes a second that the table takes
 * @param tableReads reads a second that the table takes
 */
record TargetSize(int nodes, double requestsPerSecond, int regions, int domains, int changesPerDay, int lossesPerDay,
		int replacementsPerDay, int hotKeys, double controlBytes, double tableWrites, double tableReads) {

	/** The users' "several hundred writes" is taken as 300. */
	static final TargetSize IN_TWO_YEARS = new TargetSize(3500, 27e6, 3, 7, 5700, 8, 380, 95, 10 * 1024, 300, 2000);

	double nodesInDomain() {
		return (double) this.nodes / this.domains;
	}

	double requestsPerNode() {
		return this.requestsPerSecond / this.nodes;
	}

}
