package org.brasspier.core.placement;

/**
 * The operators' weights of the three measures, from the configuration document. Only
 * their ratios matter. Immutable and thread-safe.
 *
 * @param imbalance cost of unevenly distributed load
 * @param churn cost of moving warm state
 * @param unavailable cost of the time in which a moving range is not served
 */
public record PlacementWeights(double imbalance, double churn, double unavailable) {

	/** Equal weights. */
	public static final PlacementWeights EQUAL = new PlacementWeights(1, 1, 1);

	/**
	 * Checks the weights.
	 * @throws IllegalArgumentException if one is negative or all are zero
	 */
	public PlacementWeights {
		if (imbalance < 0 || churn < 0 || unavailable < 0 || imbalance + churn + unavailable <= 0) {
			throw new IllegalArgumentException(
					"weights %s, %s, %s must not be negative nor all zero (see TROUBLESHOOTING.md#bad-weights)"
						.formatted(imbalance, churn, unavailable));
		}
	}

}
