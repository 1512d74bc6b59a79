package org.brasspier.core.ownership;

import java.util.Optional;

import org.brasspier.core.KeyRange;
import org.brasspier.core.placement.PlacementInput.HotPoint;

/**
 * Load of one range over about the last second, measured by its owner's daemon. Immutable
 * and thread-safe.
 *
 * @param range the points
 * @param busySlots how many slots its requests kept busy on average
 * @param hottest its hottest single point, if one stands out
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
