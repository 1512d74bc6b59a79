package org.brasspier.core.measure;

import org.brasspier.core.KeyHash;
import org.brasspier.core.document.Targets;

/**
 * The three measures of a service over a period, together with the targets of the
 * document. Immutable and thread-safe.
 *
 * @param imbalanceRatio the load of the busiest server divided by the mean load
 * @param churnPercentADay the share of the hash space that changed its owner in a day, in
 * percent
 * @param unavailableSecondsADay the seconds of a day in which requests were refused
 * through no fault of the caller
 * @param targets the upper limits of the measures
 */
public record MeasureSummary(double imbalanceRatio, double churnPercentADay, double unavailableSecondsADay,
		Targets targets) {

	private static final double MILLIS_A_DAY = 86_400_000;

	private static final double PERCENT = 100;

	/**
	 * Calculates the measures from sums.
	 * @param sums the sums of the period
	 * @param millis the length of the period, in milliseconds, at least 1
	 * @param targets the upper limits of the measures
	 * @return the measures
	 */
	public static MeasureSummary of(MeasureSums sums, long millis, Targets targets) {
		double days = Math.max(1, millis) / MILLIS_A_DAY;
		return new MeasureSummary(sums.imbalance(), sums.movedPoints() * PERCENT / KeyHash.SPACE / days,
				sums.unavailableSeconds() / days, targets);
	}

	/**
	 * Returns whether no measure exceeds its target.
	 * @return true if the targets are met
	 */
	public boolean targetsMet() {
		return this.imbalanceRatio <= this.targets.imbalanceRatio()
				&& this.churnPercentADay <= this.targets.churnPercentADay()
				&& this.unavailableSecondsADay <= this.targets.unavailableSecondsADay();
	}

}
