package org.brasspier.core.placement;

import java.time.Duration;

/**
 * Thresholds of placement, derived from the operators' weights. Immutable and
 * thread-safe.
 *
 * @param trigger the excess of the busiest member over the mean above which load is moved
 * @param target the excess at which moving stops
 */
record PlacementRules(double trigger, double target) {

	/**
	 * Minimum time between two moves of a range. Moving it back and forth would lose warm
	 * state each time. Hot keys can change every minute under peak load, so a longer time
	 * would keep a placement that is already outdated.
	 */
	static final long MIN_DWELL_MILLIS = Duration.ofMinutes(1).toMillis();

	/** Period in which earlier moves raise the trigger for further ones. */
	static final long MOVE_HISTORY_MILLIS = Duration.ofMinutes(10).toMillis();

	/**
	 * Share of the key space that may have moved recently before the trigger doubles. A
	 * tenth in ten minutes is about what one join moves in a deployment of ten members.
	 */
	static final double MOVED_SHARE = 0.1;

	/**
	 * Upper limit of the recently moved share that is taken into account. When all ranges
	 * have just been assigned for the first time, a member with twice its share must
	 * still be relieved.
	 */
	static final double MAX_MOVED_SHARE = 0.2;

	/**
	 * Largest load of a range that is assigned without splitting it, as a share of one
	 * member's fair load. With eight ranges a member, the load of a lost member spreads
	 * evenly to within an eighth.
	 */
	static final double MAX_RANGE_LOAD_SHARE = 1.0 / 8;

	/** Ranges are merged while there are more than this number for each member. */
	static final int TARGET_RANGES_PER_MEMBER = 12;

	/** Maximum number of ranges for each member, since the cell's row must stay small. */
	static final int MAX_RANGES_PER_MEMBER = 32;

	/** Maximum number of load moves in one plan; the next window shows their effect. */
	static final int MAX_SHIFTS = 8;

	/** Moving a range of less than this share of the space costs almost no warm state. */
	static final double SMALL_SPACE_SHARE = 0.001;

	/**
	 * Members above this utilization receive no ranges. When all members are full, a move
	 * only moves the queue, and costs warm state at the worst time.
	 */
	static final double MAX_RECEIVER_UTILIZATION = 0.85;

	private static final double BASE_TRIGGER = 0.10;

	private static final double MIN_TRIGGER = 0.06;

	private static final double MAX_TRIGGER = 0.14;

	/**
	 * A mean of n busy slots over the window has an error of about 0.1 / sqrt(n); under
	 * steady load this must not cause moves.
	 */
	private static final double MEASUREMENT_ERROR = 0.12;

	static PlacementRules of(PlacementWeights weights, double meanMemberLoad) {
		double others = (weights.churn() + weights.unavailable()) / 2;
		double ratio = (weights.imbalance() > 0) ? others / weights.imbalance() : Double.MAX_VALUE;
		double base = Math.clamp(BASE_TRIGGER * ratio, MIN_TRIGGER, MAX_TRIGGER);
		return new PlacementRules(base + MEASUREMENT_ERROR / Math.sqrt(Math.max(1.0 / 16, meanMemberLoad)), base / 2);
	}

}
