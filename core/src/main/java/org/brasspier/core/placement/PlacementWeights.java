package org.brasspier.core.placement;

/**
 * How operators weigh the three measures against each other, from the configuration
 * document. Only their ratios count. Immutable and thread-safe.
 *
 * @param imbalance the price of load that is spread unevenly
 * @param churn the price of moving warm state
 * @param unavailable the price of the time in which a moving range is not served
 */
public record PlacementWeights(double imbalance, double churn, double unavailable) {

	/** All three count the same. */
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
