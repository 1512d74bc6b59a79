package org.brasspier.wire.operator;

import java.util.List;

/**
 * The measures of one cell over a period. Immutable and thread-safe.
 *
 * @param cell the cell
 * @param fromMillis the start of the first hour, in milliseconds since 1970
 * @param toMillis the end of the period, in milliseconds since 1970
 * @param keptUntilMillis the time until which measures are kept in the store, in
 * milliseconds since 1970
 * @param services the measures of each service
 */
public record MeasuresAnswer(String cell, long fromMillis, long toMillis, long keptUntilMillis,
		List<MeasuresAnswer.Service> services) {

	/**
	 * Checks the fields and copies collections.
	 */
	public MeasuresAnswer {
		services = List.copyOf(OperatorJson.present(services, "services"));
	}

	/**
	 * The measures of one service.
	 *
	 * @param service the service
	 * @param requests the number of requests answered or turned away
	 * @param turnedAway the number of requests turned away
	 * @param imbalanceRatio the load of the busiest server divided by the mean load
	 * @param imbalanceTarget the upper bound of the imbalance ratio
	 * @param churnPercentADay the share of the key space whose owner changes in a day, in
	 * percent
	 * @param churnTarget the upper bound of the churn
	 * @param unavailableSecondsADay the seconds of a day in which callers were turned
	 * away
	 * @param unavailableTarget the upper bound of the unavailable seconds
	 * @param met whether all targets are met
	 */
	public record Service(String service, long requests, long turnedAway, double imbalanceRatio, double imbalanceTarget,
			double churnPercentADay, double churnTarget, double unavailableSecondsADay, double unavailableTarget,
			boolean met) {

	}

}
