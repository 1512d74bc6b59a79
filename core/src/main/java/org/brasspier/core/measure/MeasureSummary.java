package org.brasspier.core.measure;

import org.brasspier.core.KeyHash;
import org.brasspier.core.document.Targets;

/**
 * The three measures over some time, beside the targets of the document. Immutable and
 * thread-safe.
 *
 * @param imbalanceRatio the busiest server's load over the mean
 * @param churnPercentADay the share of the key space that changed its owner in a day, in
 * percent
 * @param unavailableSecondsADay the seconds of a day in which callers were turned away
 * @param targets what they must not exceed
 */
public record MeasureSummary(double imbalanceRatio, double churnPercentADay, double unavailableSecondsADay,
		Targets targets) {

	private static final double MILLIS_A_DAY = 86_400_000;

	private static final double PERCENT = 100;

	/**
	 * Works the measures out.
	 * @param sums what was measured
	 * @param millis over how long, in milliseconds, at least 1
	 * @param targets what the measures must not exceed
	 * @return the measures
	 */
	public static MeasureSummary of(MeasureSums sums, long millis, Targets targets) {
		double days = Math.max(1, millis) / MILLIS_A_DAY;
		return new MeasureSummary(sums.imbalance(), sums.movedPoints() * PERCENT / KeyHash.SPACE / days,
				sums.unavailableSeconds() / days, targets);
	}

	/**
	 * Whether no measure exceeds its target.
	 * @return true if the targets are met
	 */
	public boolean targetsMet() {
		return this.imbalanceRatio <= this.targets.imbalanceRatio()
				&& this.churnPercentADay <= this.targets.churnPercentADay()
				&& this.unavailableSecondsADay <= this.targets.unavailableSecondsADay();
	}

}
