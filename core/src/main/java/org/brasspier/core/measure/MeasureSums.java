package org.brasspier.core.measure;

import java.util.Collection;

/**
 * Sums of the measures of one service over a period. Sums of shorter periods can be
 * added, so the sums of hours give those of days and quarters. Immutable and thread-safe.
 *
 * @param requests the number of requests that were answered or refused
 * @param turnedAway the number of these that were refused through no fault of the caller
 * @param unavailableSeconds the number of seconds in which at least one was so refused
 * @param movedPoints the number of points of the hash space that changed their owner
 * @param busyMillis the total run time of requests, in milliseconds
 * @param weightedImbalance the sum over all minutes of the minute's imbalance times its
 * busy time, so that minutes with little load, whose imbalance is mostly random, have
 * little weight
 */
public record MeasureSums(long requests, long turnedAway, long unavailableSeconds, long movedPoints, long busyMillis,
		double weightedImbalance) {

	/** The sums of a period in which nothing happened. */
	public static final MeasureSums ZERO = new MeasureSums(0, 0, 0, 0, 0, 0);

	/**
	 * Adds the sums of another period.
	 * @param other the sums of another period of the same service
	 * @return the sums of both periods
	 */
	public MeasureSums plus(MeasureSums other) {
		return new MeasureSums(this.requests + other.requests, this.turnedAway + other.turnedAway,
				this.unavailableSeconds + other.unavailableSeconds, this.movedPoints + other.movedPoints,
				this.busyMillis + other.busyMillis, this.weightedImbalance + other.weightedImbalance);
	}

	/**
	 * Returns the load of the busiest server divided by the mean load, averaged over the
	 * busy time.
	 * @return the ratio; 1 if the load was even or there was none
	 */
	public double imbalance() {
		return (this.busyMillis > 0) ? this.weightedImbalance / this.busyMillis : 1;
	}

	/**
	 * Creates sums that count only moved points.
	 * @param points the number of points that changed their owner
	 * @return the sums
	 */
	public static MeasureSums moved(long points) {
		return new MeasureSums(0, 0, 0, points, 0, 0);
	}

	/**
	 * Combines the reports of all daemons of a cell about one service and one minute.
	 * @param reports the reports, one from each instance
	 * @return the sums of the minute
	 */
	public static MeasureSums ofMinute(Collection<MinuteReport> reports) {
		long seconds = reports.stream().mapToLong(MinuteReport::turnedAwaySeconds).reduce(0, (a, b) -> a | b);
		long busy = reports.stream().mapToLong(MinuteReport::busyMillis).sum();
		return new MeasureSums(reports.stream().mapToLong(MinuteReport::requests).sum(),
				reports.stream().mapToLong(MinuteReport::turnedAway).sum(), Long.bitCount(seconds), 0, busy,
				busy * imbalance(reports));
	}

	private static double imbalance(Collection<MinuteReport> reports) {
		double[] loads = reports.stream()
			.filter((report) -> report.slots() > 0)
			.mapToDouble((report) -> report.busyMillis() / (double) report.slots())
			.toArray();
		double mean = java.util.Arrays.stream(loads).average().orElse(0);
		return (mean > 0) ? java.util.Arrays.stream(loads).max().orElse(mean) / mean : 1;
	}

}
