package org.brasspier.core.measure;

import java.util.Collection;

/**
 * Measures of one service over some time. They add up, so the sums of hours give those of
 * days and quarters. Immutable and thread-safe.
 *
 * @param requests how many requests were answered or turned away
 * @param turnedAway how many of them were turned away through no fault of the caller
 * @param unavailableSeconds in how many seconds at least one was
 * @param movedPoints how many points of the hash space changed their owner
 * @param busyMillis how long requests ran, summed up, in milliseconds
 * @param weightedImbalance the sum over all minutes of the minute's imbalance times its
 * busy time, so that quiet minutes, whose imbalance is mostly chance, count little
 */
public record MeasureSums(long requests, long turnedAway, long unavailableSeconds, long movedPoints, long busyMillis,
		double weightedImbalance) {

	/** Nothing happened. */
	public static final MeasureSums ZERO = new MeasureSums(0, 0, 0, 0, 0, 0);

	/**
	 * Adds up.
	 * @param other the measures of another time of the same service
	 * @return the measures of both times
	 */
	public MeasureSums plus(MeasureSums other) {
		return new MeasureSums(this.requests + other.requests, this.turnedAway + other.turnedAway,
				this.unavailableSeconds + other.unavailableSeconds, this.movedPoints + other.movedPoints,
				this.busyMillis + other.busyMillis, this.weightedImbalance + other.weightedImbalance);
	}

	/**
	 * The busiest server's load over the mean, on average over the busy time.
	 * @return 1 if load was even or there was none
	 */
	public double imbalance() {
		return (this.busyMillis > 0) ? this.weightedImbalance / this.busyMillis : 1;
	}

	/**
	 * Measures of moves alone.
	 * @param points how many points changed their owner
	 * @return the measures
	 */
	public static MeasureSums moved(long points) {
		return new MeasureSums(0, 0, 0, points, 0, 0);
	}

	/**
	 * Sums up what all daemons of a cell counted of one service in one minute.
	 * @param reports the reports, one from each instance
	 * @return the measures of the minute
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
