package org.brasspier.core.document;

/**
 * What the measures must not exceed. Immutable and thread-safe.
 *
 * @param imbalanceRatio the busiest server's load over the mean, at least 1
 * @param churnPercentADay the share of the key space that changes its owner in a day, in
 * percent
 * @param unavailableSecondsADay the time in a day in which callers were turned away for
 * want of an owner, in seconds
 */
public record Targets(double imbalanceRatio, double churnPercentADay, double unavailableSecondsADay) {

}
