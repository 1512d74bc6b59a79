package org.brasspier.core.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.brasspier.core.KeyHash;
import org.brasspier.core.KeyRange;
import org.brasspier.core.placement.PlacementInput.HotPoint;

/**
 * Measures how many slots the requests for each part of the hash space keep busy, as
 * input to placement. Keeps exponentially decaying sums for fixed cells of the space, and
 * counts single hot points separately. Rejected requests are included, since demand is
 * what must be balanced, and a full server never runs more requests than it has slots.
 * Uses about 35 kB for each service. Not thread-safe.
 * <p>
 * The length of the window depends on the statistical error. A few long reads in ten
 * seconds look like uneven load, and moving ranges because of them costs warm state
 * without balancing anything. So the window grows until the relative error is at most
 * {@link #MAX_RELATIVE_ERROR}, and shrinks again when there are many requests, so that
 * changes of hot keys are detected as quickly as possible.
 */
public final class LoadMeter {

	/**
	 * Number of cells of the hash space. With sixteen ranges a member and twenty members,
	 * a range still spans a dozen cells.
	 */
	private static final int CELLS = 4096;

	private static final long CELL_POINTS = KeyHash.SPACE / CELLS;

	/**
	 * Number of points that are counted separately. A point matters from about an eighth
	 * of one member's load; twenty members have at most 160 such points together, and
	 * each daemon meters only the points that it owns.
	 */
	private static final int HOT_POINTS = 64;

	/**
	 * Minimum part of the window for which a range is assumed to have been observed.
	 * Without it, the first request of a service would look like thousands of busy slots.
	 */
	private static final double MIN_OBSERVED_SHARE = 0.2;

	/**
	 * Acceptable relative standard error of the sum. It is a fifth of the smallest excess
	 * at which placement moves anything; within an hour of steady load a third of that
	 * excess is exceeded now and then, which would move ranges back and forth.
	 */
	private static final double MAX_RELATIVE_ERROR = 0.025;

	/**
	 * Maximum window, as a multiple of the minimum one: one minute for a minimum of ten
	 * seconds. Hot keys change within minutes, and a longer window would still reflect
	 * earlier ones.
	 */
	private static final double MAX_WINDOW_FACTOR = 6;

	/**
	 * Interval of window changes. The window follows changes in the kind of load, not
	 * single requests.
	 */
	private static final long ADAPT_INTERVAL_NANOS = 1_000_000_000;

	/** Exponent of the decay weights at which the sums are rescaled to weight one. */
	private static final double MAX_EXPONENT = 50;

	private final double minWindowNanos;

	private double windowNanos;

	private double observedNanosAtOrigin;

	private double sum;

	private double sumOfSquares;

	private final double[] cells = new double[CELLS];

	private final Map<Long, Counter> hot = new HashMap<>();

	private long originNanos;

	/**
	 * Creates a meter without observations.
	 * @param minWindowNanos minimum time constant of the decay (after it an observation
	 * counts for about a third), in nanoseconds
	 * @param now current time, in nanoseconds
	 */
	public LoadMeter(long minWindowNanos, long now) {
		this.minWindowNanos = minWindowNanos;
		this.windowNanos = minWindowNanos;
		this.originNanos = now;
	}

	/**
	 * Adds the slot time that a request used, or would have used if it was rejected.
	 * @param hash the request's point
	 * @param busyNanos the slot time, in nanoseconds
	 * @param now current time, in nanoseconds
	 */
	public void record(KeyHash hash, long busyNanos, long now) {
		adapt(now);
		double mass = busyNanos * weight(now);
		this.sum += mass;
		this.sumOfSquares += mass * mass;
		Counter counter = this.hot.get(hash.point());
		if (counter != null) {
			counter.mass += mass;
			return;
		}
		if (this.hot.size() < HOT_POINTS) {
			this.hot.put(hash.point(), new Counter(mass, 0));
			return;
		}
		replaceSmallest(hash.point(), mass);
	}

	/**
	 * Discards what was recorded for a range. Called when the range has moved here,
	 * possibly for a second time: earlier observations, divided by the short time since
	 * the move, would look like many times the actual load, and half of the service would
	 * be moved away.
	 * @param range the range
	 */
	public void forget(KeyRange range) {
		for (long cell = range.low() / CELL_POINTS; cell * CELL_POINTS < range.high(); cell++) {
			long low = Math.max(range.low(), cell * CELL_POINTS);
			long high = Math.min(range.high(), (cell + 1) * CELL_POINTS);
			this.cells[(int) cell] *= 1 - (high - low) / (double) CELL_POINTS;
		}
		this.hot.entrySet()
			.stream()
			.filter((entry) -> range.contains(new KeyHash(entry.getKey())))
			.forEach((entry) -> entry.getValue().scale(0));
	}

	/**
	 * Returns how many slots the requests of a range keep busy. For a range that has
	 * moved recently, the sum is divided by the time since the move and not by the whole
	 * window; otherwise the range would look nearly empty and still more would be moved
	 * to its new owner.
	 * @param range the range
	 * @param sinceNanos time from which its requests arrive here, in nanoseconds
	 * @param now current time, in nanoseconds
	 * @return the decaying average, at least 0
	 */
	public double busySlots(KeyRange range, long sinceNanos, long now) {
		double mass = 0;
		for (long cell = range.low() / CELL_POINTS; cell * CELL_POINTS < range.high(); cell++) {
			long low = Math.max(range.low(), cell * CELL_POINTS);
			long high = Math.min(range.high(), (cell + 1) * CELL_POINTS);
			mass += this.cells[(int) cell] * (high - low) / CELL_POINTS;
		}
		mass += this.hot.entrySet()
			.stream()
			.filter((entry) -> range.contains(new KeyHash(entry.getKey())))
			.mapToDouble((entry) -> entry.getValue().mass)
			.sum();
		return slots(mass, sinceNanos, now);
	}

	/**
	 * Returns the hottest single point of a range.
	 * @param range the range
	 * @param sinceNanos time from which its requests arrive here, in nanoseconds
	 * @param now current time, in nanoseconds
	 * @return empty if no point of the range is counted separately; its busy slots are a
	 * lower bound
	 */
	public Optional<HotPoint> hottest(KeyRange range, long sinceNanos, long now) {
		return this.hot.entrySet()
			.stream()
			.filter((entry) -> range.contains(new KeyHash(entry.getKey())))
			.max(Comparator.comparingDouble((entry) -> entry.getValue().mass))
			.map((entry) -> new HotPoint(entry.getKey(), slots(entry.getValue().mass, sinceNanos, now)));
	}

	private double slots(double mass, long sinceNanos, long now) {
		double all = observedNanos(now);
		// After the window has shrunk, the observed time may exceed it.
		double window = Math.max(this.windowNanos, all);
		double seen = Math.min(all, window * (1 - Math.exp(-(now - sinceNanos) / window)));
		return mass / weight(now) / Math.max(MIN_OBSERVED_SHARE * this.minWindowNanos, seen);
	}

	// Observed part of the window, with the same decay as the sums.
	private double observedNanos(long now) {
		double kept = 1 / weight(now);
		return this.observedNanosAtOrigin * kept + this.windowNanos * (1 - kept);
	}

	private double weight(long now) {
		return Math.exp((now - this.originNanos) / this.windowNanos);
	}

	private void adapt(long now) {
		boolean due = now - this.originNanos >= ADAPT_INTERVAL_NANOS && this.sum > 0;
		if (due || (now - this.originNanos) / this.windowNanos >= MAX_EXPONENT) {
			rebase(now);
			this.windowNanos = requiredWindow();
		}
	}

	// For requests that arrive at random, the variance of the sum is the sum of their
	// squares. Its ratio to the square of the sum falls as the window grows.
	private double requiredWindow() {
		if (this.sum <= 0) {
			return this.minWindowNanos;
		}
		double variance = this.sumOfSquares / (this.sum * this.sum);
		double wanted = this.observedNanosAtOrigin * variance / (MAX_RELATIVE_ERROR * MAX_RELATIVE_ERROR);
		return Math.clamp(wanted, this.minWindowNanos, MAX_WINDOW_FACTOR * this.minWindowNanos);
	}

	private void rebase(long now) {
		double factor = 1 / weight(now);
		this.observedNanosAtOrigin = observedNanos(now);
		for (int i = 0; i < CELLS; i++) {
			this.cells[i] *= factor;
		}
		this.hot.values().forEach((counter) -> counter.scale(factor));
		this.sum *= factor;
		this.sumOfSquares *= factor * factor;
		this.originNanos = now;
	}

	// Space-saving algorithm: the new point inherits the rank of the smallest counter but
	// not its load. A point that gets hot rises within a few requests, and the sum stays
	// correct.
	private void replaceSmallest(long point, double mass) {
		Map.Entry<Long, Counter> smallest = this.hot.entrySet()
			.stream()
			.min(Comparator.comparingDouble((entry) -> entry.getValue().rank()))
			.orElseThrow();
		this.hot.remove(smallest.getKey());
		this.cells[(int) (smallest.getKey() / CELL_POINTS)] += smallest.getValue().mass;
		this.hot.put(point, new Counter(mass, smallest.getValue().rank()));
	}

	private static final class Counter {

		private double mass;

		private double inheritedMass;

		Counter(double own, double inherited) {
			this.mass = own;
			this.inheritedMass = inherited;
		}

		double rank() {
			return this.mass + this.inheritedMass;
		}

		void scale(double factor) {
			this.mass *= factor;
			this.inheritedMass *= factor;
		}

	}

}
