package org.brasspier.core.document;

/**
 * Upper limits of the measures. Immutable and thread-safe.
 *
 * @param imbalanceRatio the load of the busiest server divided by the mean load, at least
 * 1
 * @param churnPercentADay the share of the hash space that changes its owner in a day, in
 * percent
 * @param unavailableSecondsADay the time in a day in which requests were refused because
 * no owner was available, in seconds
 */
public record Targets(double imbalanceRatio, double churnPercentADay, double unavailableSecondsADay) {

}
