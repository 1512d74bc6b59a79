package org.brasspier.core.placement;

import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;

/**
 * One step of a placement plan. Immutable and thread-safe.
 */
public sealed interface PlacementStep {

	/**
	 * Moves a range to another instance.
	 *
	 * @param range the range as it is after the splits of the same plan
	 * @param to the new owner
	 * @param cause the reason, for the churn measure
	 */
	record Move(KeyRange range, InstanceId to, MoveCause cause) implements PlacementStep {

	}

	/**
	 * Splits a range into two with the same owner and fence, so that one part can move.
	 *
	 * @param range the range before the split
	 * @param at the first point of the second part
	 */
	record Split(KeyRange range, long at) implements PlacementStep {

	}

	/**
	 * Merges two adjacent ranges of one owner, to bound the number of ranges.
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

		/** It has no owner. */
		LOSS,

		/** Its owner is leaving. */
		LEAVING,

		/** An instance has joined and gets its share. */
		JOIN,

		/** Load is uneven. */
		BALANCE,

		/** An operator requested it. */
		ORDER

	}

}
