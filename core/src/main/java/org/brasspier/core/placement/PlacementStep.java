package org.brasspier.core.placement;

import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;

/**
 * One step of a placement plan. Immutable and thread-safe.
 */
public sealed interface PlacementStep {

	/**
	 * Gives a range to another instance.
	 *
	 * @param range the range as it stands after the splits of the same plan
	 * @param to who gets it
	 * @param cause why, for churn's account
	 */
	record Move(KeyRange range, InstanceId to, MoveCause cause) implements PlacementStep {

	}

	/**
	 * Cuts a range in two with the same owner and fence, so that a part can move.
	 *
	 * @param range the range as it stands
	 * @param at the first point of the second part
	 */
	record Split(KeyRange range, long at) implements PlacementStep {

	}

	/**
	 * Joins two neighbouring ranges of one owner, so that the number of ranges stays
	 * bounded.
	 *
	 * @param first the lower range
	 * @param second the range right after it
	 */
	record Merge(KeyRange first, KeyRange second) implements PlacementStep {

	}

	/**
	 * Why a range moves.
	 */
	enum MoveCause {

		/** It had no owner. */
		LOSS,

		/** Its owner is leaving. */
		LEAVING,

		/** An instance has joined and takes its share. */
		JOIN,

		/** Load was uneven. */
		BALANCE,

		/** An operator ordered it. */
		ORDER

	}

}
