package org.brasspier.bench.capacity;

import java.util.List;

/**
 * One calculated line of the capacity page: what a mechanism needs at the target size,
 * and its limit. Immutable and thread-safe.
 *
 * @param quantity the quantity
 * @param need what is needed at the target size
 * @param limit what is available, NaN if unlimited
 * @param unit the unit of both
 * @param mechanism the mechanism that needs it
 */
record CapacityRequirement(String quantity, double need, double limit, String unit, String mechanism) {

	private static final double SECONDS_PER_DAY = 86_400;

	/** The present number of ranges of a service, with one service in each cell. */
	private static final int RANGES_PER_CELL = 64;

	/**
	 * When a hot key changes, one write splits and moves its range, and a later one
	 * merges it.
	 */
	private static final int WRITES_PER_HOT_KEY = 2;

	/** The users' "within minutes" is taken as two minutes. */
	private static final double HOT_KEY_CHANGE_SECONDS = 120;

	/** The time within which the keys of a lost instance must be served again. */
	private static final double RECOVERY_SECONDS = 1;

	/** Both managers read the pointer to the configuration document once a second. */
	private static final double POINTER_READS_PER_SECOND = 2;

	/**
	 * Bytes of a read that finds no change: about 130 for the request and 60 for the
	 * response, as the HTTP client and the stand-in write them, in two segments and two
	 * acknowledgements.
	 */
	private static final double UNCHANGED_READ_BYTES = 190 + 4 * CellSlopes.HEADER_BYTES;

	/**
	 * Calculates the requirements at the target size.
	 * @param slopes the measured slopes
	 * @param target the target size
	 * @return the lines of the page
	 */
	static List<CapacityRequirement> calculate(MeasuredSlopes slopes, TargetSize target) {
		Slope traffic = slopes.get("primary lease manager, control traffic");
		double rowReads = slopes.get("cell, calls of the table in steady state").valueAt(0);
		// The primary makes half of the reads, the other manager the other half.
		double readBytes = UNCHANGED_READ_BYTES * (rowReads + POINTER_READS_PER_SECOND) / 2;
		int members = maxMembers(traffic, target.controlBytes() - readBytes);
		double cells = Math.ceil((double) target.nodes() / members);
		double cellsOfRegion = cells / target.regions();
		double plainLoss = slopes.get("loss of a plain member, writes of the row").valueAt(members);
		double domainLoss = slopes.get("loss of the primary's failure domain, writes of the row").valueAt(members);
		double replacement = slopes.get("replacement as planned, writes of the row").valueAt(members);
		return List.of(
				new CapacityRequirement("members of a cell, so that its primary stays within its bytes", members,
						members, "members", "heartbeats to two managers in turn"),
				new CapacityRequirement("cells", cells, Double.NaN, "cells", "a directory of cells (not built yet)"),
				new CapacityRequirement("primary lease manager: control traffic and reads of the row",
						traffic.valueAt(members) + readBytes, target.controlBytes(), "bytes/s",
						"heartbeats, beats, reads"),
				new CapacityRequirement("other member: control traffic",
						slopes.get("member, control traffic").valueAt(members), target.controlBytes(), "bytes/s",
						"heartbeats"),
				// Microseconds per second divided by 1e4 are percent of a core.
				new CapacityRequirement("primary lease manager: deciding and coding",
						slopes.get("primary lease manager, deciding and coding").valueAt(members) / 1e4, 1.5,
						"% of a core", "the ownership thread"),
				new CapacityRequirement("steady reads of the table", cells * (rowReads + POINTER_READS_PER_SECOND),
						target.tableReads(), "reads/s", "managers read their row and the pointer"),
				new CapacityRequirement("writes on an ordinary day: losses and replacements",
						(target.lossesPerDay() * plainLoss + target.replacementsPerDay() * replacement)
								/ SECONDS_PER_DAY,
						target.tableWrites(), "writes/s", "one conditional write a batch of moves"),
				new CapacityRequirement("writes for hot keys that all change within two minutes",
						target.hotKeys() * WRITES_PER_HOT_KEY / HOT_KEY_CHANGE_SECONDS, target.tableWrites(),
						"writes/s", "split and move in one write, merge later"),
				new CapacityRequirement("writes for configuration changes", target.changesPerDay() / SECONDS_PER_DAY,
						target.tableWrites(), "writes/s", "one pointer row"),
				new CapacityRequirement(
						"a failure domain of %.0f lost at once: writes within a second"
							.formatted(target.nodesInDomain()),
						cellsOfRegion * domainLoss / RECOVERY_SECONDS, target.tableWrites(), "writes/s",
						"each cell of the region: one epoch, one batch of moves"),
				new CapacityRequirement("route table of a whole service of 3,500 owners, memory",
						slopes.get("route table, memory").valueAt(cells * RANGES_PER_CELL) / (1 << 20), 32, "MB",
						"routes of all cells in each daemon (weighed below)"));
	}

	private static int maxMembers(Slope traffic, double bytes) {
		return (int) Math.floor((bytes - traffic.fit().base()) / traffic.fit().perSize());
	}

	/**
	 * Returns the share of the limit that remains unused.
	 * @return 1 if nothing is needed, negative if the need exceeds the limit, NaN if
	 * there is no limit
	 */
	double margin() {
		return 1 - this.need / this.limit;
	}

}
