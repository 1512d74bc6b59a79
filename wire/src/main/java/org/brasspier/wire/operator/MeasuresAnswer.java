package org.brasspier.wire.operator;

import java.util.List;

/**
 * The measures of one cell over some time. Immutable and thread-safe.
 *
 * @param cell the cell
 * @param fromMillis the beginning of the first hour, in milliseconds since 1970
 * @param toMillis the end, in milliseconds since 1970
 * @param keptUntilMillis until when measures are kept in the store
 * @param services the measures of each service
 */
public record MeasuresAnswer(String cell, long fromMillis, long toMillis, long keptUntilMillis,
		List<MeasuresAnswer.Service> services) {

	/**
	 * Checks and copies.
	 */
	public MeasuresAnswer {
		services = List.copyOf(OperatorJson.present(services, "services"));
	}

	/**
	 * The measures of one service.
	 *
	 * @param service the service
	 * @param requests how many requests were answered or turned away
	 * @param turnedAway how many of them were turned away
	 * @param imbalanceRatio the busiest server's load over the mean
	 * @param imbalanceTarget what it must not exceed
	 * @param churnPercentADay the share of the key space that changed its owner in a day,
	 * in percent
	 * @param churnTarget what it must not exceed
	 * @param unavailableSecondsADay the seconds of a day in which callers were turned
	 * away
	 * @param unavailableTarget what they must not exceed
	 * @param met whether no target is exceeded
	 */
	public record Service(String service, long requests, long turnedAway, double imbalanceRatio, double imbalanceTarget,
			double churnPercentADay, double churnTarget, double unavailableSecondsADay, double unavailableTarget,
			boolean met) {

	}

}
