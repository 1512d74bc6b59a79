package org.brasspier.core.placement;

import java.time.Duration;

/**
 * The numbers that placement works with, worked out from how operators weigh the
 * measures. Immutable and thread-safe.
 *
 * @param trigger the excess of the busiest member over the mean from which load is
 * shifted
 * @param target the excess at which shifting stops
 */
record PlacementRules(double trigger, double target) {

	/**
	 * A range rests this long where it has come: moves back and forth would cost warm
	 * state each time. Hot keys change each minute on a summer Saturday, so a longer rest
	 * would pin yesterday's answer.
	 */
	static final long MIN_DWELL_MILLIS = Duration.ofMinutes(1).toMillis();

	/** How far back moves count against further ones. */
	static final long MOVE_HISTORY_MILLIS = Duration.ofMinutes(10).toMillis();

	/**
	 * The share of the key space that may have moved lately before the trigger doubles. A
	 * tenth in ten minutes: about what one join in a deployment of ten moves.
	 */
	static final double MOVED_SHARE = 0.1;

	/**
	 * More than this counts as this much: when all ranges have just been placed for the
	 * first time, a member with twice its share must still be relieved.
	 */
	static final double MAX_MOVED_SHARE = 0.2;

	/**
	 * The largest piece, as a share of one member's fair load, that is handed out whole:
	 * eight pieces a member let a lost member's load spread to within an eighth.
	 */
	static final double MAX_RANGE_LOAD_SHARE = 1.0 / 8;

	/** More pieces a member than this are merged. */
	static final int TARGET_RANGES_PER_MEMBER = 12;

	/** More pieces a member than this are never made: the cell's row must stay small. */
	static final int MAX_RANGES_PER_MEMBER = 32;

	/** Load shifts in one plan; the next window shows what they did. */
	static final int MAX_SHIFTS = 8;

	/** A piece of less than this share of the space costs next to no warm state. */
	static final double SMALL_SPACE_SHARE = 0.001;

	/**
	 * A member that is busier than this takes nothing over: when all are full, a move
	 * only takes the queue elsewhere and costs warm state when there is least time for
	 * it.
	 */
	static final double MAX_RECEIVER_UTILIZATION = 0.85;

	private static final double BASE_TRIGGER = 0.10;

	private static final double MIN_TRIGGER = 0.06;

	private static final double MAX_TRIGGER = 0.14;

	/**
	 * A mean of n busy slots over the window is uncertain by about 0.1 / sqrt(n); steady
	 * load must not look like a reason to move.
	 */
	private static final double MEASUREMENT_ERROR = 0.12;

	static PlacementRules of(PlacementWeights weights, double meanSeatLoad) {
		double others = (weights.churn() + weights.unavailable()) / 2;
		double ratio = (weights.imbalance() > 0) ? others / weights.imbalance() : Double.MAX_VALUE;
		double base = Math.clamp(BASE_TRIGGER * ratio, MIN_TRIGGER, MAX_TRIGGER);
		return new PlacementRules(base + MEASUREMENT_ERROR / Math.sqrt(Math.max(1.0 / 16, meanSeatLoad)), base / 2);
	}

}
