package org.brasspier.core.load;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * The run time that the running requests of one backend server still need, and the
 * server's present speed. Not thread-safe.
 */
public final class OutstandingWork {

	/**
	 * Half-life of the observations of speed: stalls of 0.4 s are to be seen while they
	 * last.
	 */
	private static final double HALF_LIFE_NANOS = Duration.ofMillis(300).toNanos();

	/**
	 * Weight of the usual speed beside the observations, in requests. Without recent
	 * observations the usual speed is assumed.
	 */
	private static final double USUAL_SPEED_WEIGHT = 1;

	/** Share of the mean that a run is expected to need at least, however old it is. */
	private static final double MIN_REMAINING_SHARE = 0.1;

	/** Bound of the slowness, against a single run that took extremely long. */
	private static final double MAX_SLOWNESS = 10;

	private final Map<Long, Run> running = new HashMap<>();

	private double relativeTimes;

	private double observations;

	private long observedNanos;

	/**
	 * Records that a request was started.
	 * @param id its number, not in use by another running request
	 * @param meanNanos its expected run time at the server's usual speed
	 * @param highNanos the run time that few requests of its route exceed at that speed
	 * @param now the current time, in nanoseconds
	 */
	public void onStarted(long id, double meanNanos, double highNanos, long now) {
		this.running.put(id, new Run(now, Math.max(1, meanNanos), Math.max(1, highNanos)));
	}

	/**
	 * Records that a request ended.
	 * @param id its number; an unknown one is ignored
	 * @param answered whether its time tells the server's speed; otherwise only that it
	 * is not running any more
	 * @param now the current time, in nanoseconds
	 */
	public void onEnded(long id, boolean answered, long now) {
		Run ended = this.running.remove(id);
		if (ended != null && answered) {
			double kept = kept(now);
			this.relativeTimes = this.relativeTimes * kept + Math.min(MAX_SLOWNESS, ended.relativeTime(now));
			this.observations = this.observations * kept + 1;
			this.observedNanos = now;
		}
	}

	/**
	 * Returns how slow the server is: recent run times over the means of their routes. A
	 * run that lasts longer than nearly all of its route counts before it has ended.
	 * @param now the current time, in nanoseconds
	 * @return 1 at the usual speed, 2 at half of it
	 */
	public double slowness(long now) {
		double kept = kept(now);
		double sum = USUAL_SPEED_WEIGHT + this.relativeTimes * kept;
		double count = USUAL_SPEED_WEIGHT + this.observations * kept;
		for (Run run : this.running.values()) {
			if (now - run.startNanos() > run.highNanos()) {
				sum += Math.min(MAX_SLOWNESS, run.relativeTime(now));
				count++;
			}
		}
		return sum / count;
	}

	/**
	 * Returns the outstanding work at the present speed.
	 * @param waitingNanos expected work of the waiting requests at the usual speed, in
	 * nanoseconds
	 * @param now the current time, in nanoseconds
	 * @return the sum over all slots, in nanoseconds
	 */
	public double nanos(double waitingNanos, long now) {
		double slowness = slowness(now);
		double sum = waitingNanos * slowness;
		for (Run run : this.running.values()) {
			double expected = run.meanNanos() * slowness;
			sum += Math.max(MIN_REMAINING_SHARE * expected, expected - (now - run.startNanos()));
		}
		return sum;
	}

	private double kept(long now) {
		return Math.pow(0.5, Math.max(0, now - this.observedNanos) / HALF_LIFE_NANOS);
	}

	private record Run(long startNanos, double meanNanos, double highNanos) {

		double relativeTime(long now) {
			return (now - this.startNanos) / this.meanNanos;
		}

	}

}
