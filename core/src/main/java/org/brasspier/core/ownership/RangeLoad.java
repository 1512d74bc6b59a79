package org.brasspier.core.ownership;

import java.util.Optional;

import org.brasspier.core.KeyRange;
import org.brasspier.core.placement.PlacementInput.HotPoint;

/**
 * The load of one range over the last second or so, as its owner's daemon measured it.
 * Immutable and thread-safe.
 *
 * @param range the points
 * @param busySlots how many slots its requests kept busy on average
 * @param hottest the hottest single point in it, if one stands out
 */
public record RangeLoad(KeyRange range, double busySlots, Optional<HotPoint> hottest) {

	/**
	 * Checks the load.
	 * @throws IllegalArgumentException if the load is negative
	 */
	public RangeLoad {
		if (!(busySlots >= 0)) {
			throw new IllegalArgumentException("busySlots %s must not be negative".formatted(busySlots));
		}
	}

}
