package org.brasspier.bench.capacity;

import java.util.List;

/**
 * One line of the page that is worked out: what a mechanism needs at the target size
 * against its limit. Immutable and thread-safe.
 *
 * @param what the quantity
 * @param need what is needed at the target size
 * @param limit what there is
 * @param unit the unit of both
 * @param mechanism what carries it
 */
record WorkedOut(String what, double need, double limit, String unit, String mechanism) {

	private static final double SECONDS_A_DAY = 86_400;

	/** Today's ranges a service, with one service to a cell. */
	private static final int RANGES = 64;

	/** A hot key's change costs a split with its move, and a merge later. */
	private static final int WRITES_A_HOT_KEY = 2;

	/** "Within minutes" taken as two. */
	private static final double HOT_KEY_SECONDS = 120;

	/** How long a loss may take until its keys are served again. */
	private static final double RECOVERY_SECONDS = 1;

	/** The pointer to the document is read by both managers once a second. */
	private static final double POINTER_READS = 2;

	/**
	 * A read that finds nothing new: some 130 bytes of request and 60 of answer, as the
	 * HTTP client and the stand-in write them, in two segments and two acknowledgements.
	 */
	private static final double UNCHANGED_READ_BYTES = 190 + 4 * CellSlopes.HEADER_BYTES;

	/**
	 * Works the target size out.
	 * @param slopes what was measured
	 * @param target the target size
	 * @return the lines of the page
	 */
	static List<WorkedOut> all(Measured slopes, TargetSize target) {
		Slope traffic = slopes.named("primary lease manager, control traffic");
		double rowReads = slopes.named("cell, calls of the table in steady state").at(0);
		double readBytes = UNCHANGED_READ_BYTES * (rowReads + POINTER_READS) / 2;
		int members = membersWithin(traffic, target.controlBytes() - readBytes);
		double cells = Math.ceil((double) target.nodes() / members);
		double cellsOfRegion = cells / target.regions();
		double plainLoss = slopes.named("loss of a plain member, writes of the row").at(members);
		double domainLoss = slopes.named("loss of the primary's failure domain, writes of the row").at(members);
		double replacement = slopes.named("replacement as planned, writes of the row").at(members);
		return List.of(
				new WorkedOut("members of a cell, so that its primary stays within its bytes", members, members,
						"members", "heartbeats to two managers in turn"),
				new WorkedOut("cells", cells, Double.NaN, "cells", "a directory of cells (not built yet)"),
				new WorkedOut("primary lease manager: control traffic and reads of the row",
						traffic.at(members) + readBytes, target.controlBytes(), "bytes/s", "heartbeats, beats, reads"),
				new WorkedOut("other member: control traffic", slopes.named("member, control traffic").at(members),
						target.controlBytes(), "bytes/s", "heartbeats"),
				new WorkedOut("primary lease manager: deciding and coding",
						slopes.named("primary lease manager, deciding and coding").at(members) / 1e4, 1.5,
						"% of a core", "the ownership thread"),
				new WorkedOut("steady reads of the table", cells * (rowReads + POINTER_READS), target.tableReads(),
						"reads/s", "managers read their row and the pointer"),
				new WorkedOut("writes on an ordinary day: losses and replacements",
						(target.lossesPerDay() * plainLoss + target.replacementsPerDay() * replacement) / SECONDS_A_DAY,
						target.tableWrites(), "writes/s", "one conditional write a batch of moves"),
				new WorkedOut("writes for hot keys that all change within two minutes",
						target.hotKeys() * WRITES_A_HOT_KEY / HOT_KEY_SECONDS, target.tableWrites(), "writes/s",
						"split and move in one write, merge later"),
				new WorkedOut("writes for configuration changes", target.changesPerDay() / SECONDS_A_DAY,
						target.tableWrites(), "writes/s", "one pointer row"),
				new WorkedOut(
						"a failure domain of %.0f lost at once: writes within a second"
							.formatted(target.nodesInDomain()),
						cellsOfRegion * domainLoss / RECOVERY_SECONDS, target.tableWrites(), "writes/s",
						"each cell of the region: one epoch, one batch of moves"),
				new WorkedOut("route table of a whole service of 3,500 owners, memory",
						slopes.named("route table, memory").at(cells * RANGES) / (1 << 20), 32, "MB",
						"routes of all cells in each daemon (weighed below)"));
	}

	private static int membersWithin(Slope traffic, double bytes) {
		return (int) Math.floor((bytes - traffic.fit().base()) / traffic.fit().perSize());
	}

	/**
	 * The share of the limit that is left.
	 * @return 1 if nothing is needed, below 0 where it breaks
	 */
	double margin() {
		return 1 - this.need / this.limit;
	}

}
