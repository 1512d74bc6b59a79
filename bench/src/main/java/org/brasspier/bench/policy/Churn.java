package org.brasspier.bench.policy;

import java.util.EnumMap;
import java.util.Map;

import org.brasspier.core.placement.PlacementStep.MoveCause;

/**
 * The share of the key space that changed its owner, by cause. Not thread-safe.
 */
final class Churn {

	private final Map<MoveCause, Double> shares = new EnumMap<>(MoveCause.class);

	private int moves;

	void recordMove(MoveCause cause, double share) {
		this.shares.merge(cause, share, Double::sum);
		this.moves++;
	}

	double share(MoveCause cause) {
		return this.shares.getOrDefault(cause, 0.0);
	}

	int moves() {
		return this.moves;
	}

}
