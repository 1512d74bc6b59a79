package org.brasspier.core.placement;

import java.util.Optional;

import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyHash;
import org.brasspier.core.KeyRange;
import org.brasspier.core.placement.PlacementInput.HotPoint;

/**
 * A range during planning. Immutable.
 *
 * @param range the points
 * @param owner its owner after the steps planned so far
 * @param busySlots how many slots its requests keep busy on average
 * @param hottest its hottest point, if one stands out
 * @param movedAtMillis when its owner last changed
 * @param touched whether this plan has moved or split it
 */
record PlannedRange(KeyRange range, Optional<InstanceId> owner, double busySlots, Optional<HotPoint> hottest,
		long movedAtMillis, boolean touched) {

	static PlannedRange of(PlacementInput.Range range, Optional<InstanceId> owner) {
		return new PlannedRange(range.range(), owner, range.busySlots(), range.hottest(), range.movedAtMillis(), false);
	}

	PlannedRange ownedBy(InstanceId instance) {
		return new PlannedRange(this.range, Optional.of(instance), this.busySlots, this.hottest, this.movedAtMillis,
				true);
	}

	/**
	 * Returns the part between two points. The load of the hot point goes to the part
	 * that contains it; the rest is divided by the number of points, since there is no
	 * finer measurement.
	 * @param low the first point
	 * @param high the point after the last
	 * @return the part
	 */
	PlannedRange part(long low, long high) {
		KeyRange part = new KeyRange(low, high);
		Optional<HotPoint> kept = this.hottest.filter((hot) -> part.contains(new KeyHash(hot.point())));
		double hot = this.hottest.map(HotPoint::busySlots).orElse(0.0);
		double rest = Math.max(0, this.busySlots - hot) * part.size() / this.range.size();
		return new PlannedRange(part, this.owner, rest + kept.map(HotPoint::busySlots).orElse(0.0), kept,
				this.movedAtMillis, this.touched);
	}

	boolean single() {
		return this.range.size() == 1;
	}

	double spaceShare() {
		return this.range.size() / (double) KeyHash.SPACE;
	}

}
