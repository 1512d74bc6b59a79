package org.brasspier.core.placement;

import java.util.List;

/**
 * Decides which ranges move. Deterministic: the same input gives the same steps.
 * Implementations are stateless, so that any lease manager can take over from another.
 */
public interface PlacementPolicy {

	/**
	 * Plans the next steps for one service.
	 * @param input the current state
	 * @return the steps to take together, empty if no step justifies its cost
	 */
	List<PlacementStep> plan(PlacementInput input);

}
