package org.brasspier.core.placement;

import java.util.List;

/**
 * Decides what should move. Deterministic: the same input gives the same steps.
 * Implementations keep no state, so that any lease manager may take over from another.
 */
public interface PlacementPolicy {

	/**
	 * Plans the next steps for one service.
	 * @param input what is known now
	 * @return the steps to take together, empty if nothing is worth its price
	 */
	List<PlacementStep> plan(PlacementInput input);

}
