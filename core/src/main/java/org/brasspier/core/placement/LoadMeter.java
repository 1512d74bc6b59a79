package org.brasspier.core.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.brasspier.core.KeyHash;
import org.brasspier.core.KeyRange;
import org.brasspier.core.placement.PlacementInput.HotPoint;

/**
 * How many slots the points of the hash space keep busy, as placement needs it: fading
 * sums over cells of the space, and single hot points counted apart. Takes what was
 * refused as well, since demand is what must be spread, and a full server serves no more
 * than its slots whatever is asked of it. Some 35 kB a service. Not thread-safe.
 * <p>
 * Looks back as far as chance demands: a few long reads over ten seconds look like uneven
 * load, and moving ranges for them costs warm state and evens out nothing. So the window
 * grows until what was seen is certain to within {@link #MAX_RELATIVE_ERROR}, and shrinks
 * again when requests are many, so that hot keys are followed as fast as they can be
 * told.
 */
public final class LoadMeter {

	/**
	 * Cells of the space: fine enough that sixteen ranges a member of a cell of twenty
	 * members each still span a dozen.
	 */
	private static final int CELLS = 4096;

	private static final long CELL_POINTS = KeyHash.SPACE / CELLS;

	/**
	 * Points counted apart. A point matters from about an eighth of one member's load;
	 * twenty members have at most 160 such points among them, and one daemon holds only
	 * its own few.
	 */
	private static final int HOT_POINTS = 64;

	/**
	 * The least part of its window that a meter is taken to have seen of a range. Without
	 * it, the first request of a service would look like thousands of busy slots.
	 */
	private static final double MIN_OBSERVED_SHARE = 0.2;

	/**
	 * The error that chance may leave in the sum, as a share of it. A fifth of the least
	 * excess that placement moves anything for: within an hour of steady load a third is
	 * passed now and then, and moves back and forth begin.
	 */
	private static final double MAX_RELATIVE_ERROR = 0.025;

	/**
	 * The longest window, in least ones: a minute for today's ten seconds. Hot keys
	 * change within minutes, and a longer one would pin what was true of others.
	 */
	private static final double MAX_WINDOW_FACTOR = 6;

	/** The window follows changes of the load's make-up, not each request. */
	private static final long ADAPT_INTERVAL_NANOS = 1_000_000_000;

	/** Beyond this exponent the fading weights are brought back to one. */
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
	 * Creates a meter that has seen nothing.
	 * @param leastWindowNanos the least time after which an observation counts for a
	 * third, in nanoseconds
	 * @param now the time, in nanoseconds
	 */
	public LoadMeter(long leastWindowNanos, long now) {
		this.minWindowNanos = leastWindowNanos;
		this.windowNanos = leastWindowNanos;
		this.originNanos = now;
	}

	/**
	 * Adds slot time that was used, or would have been by a refused request.
	 * @param hash the request's point
	 * @param busyNanos the slot time, in nanoseconds
	 * @param now the time, in nanoseconds
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
	 * Forgets what was recorded of a range, as when it has come, or come back: counted
	 * over the little time since then, what it did before would look like many times its
	 * load, and half the service would be moved away from here.
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
	 * The slots that the requests of a range kept busy. Made for ranges that have just
	 * moved: their new owner has seen only part of its window of them, and taken for the
	 * whole one they look nearly empty, so that still more is moved there.
	 * @param range the range
	 * @param sinceNanos since when its requests come here, in nanoseconds
	 * @param now the time, in nanoseconds
	 * @return the fading average, at least 0
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
	 * The hottest single point of a range.
	 * @param range the range
	 * @param sinceNanos since when its requests come here, in nanoseconds
	 * @param now the time, in nanoseconds
	 * @return empty if no point was counted apart; what it kept busy is a lower bound
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
		// After the window has shrunk, more than it was seen.
		double window = Math.max(this.windowNanos, all);
		double seen = Math.min(all, window * (1 - Math.exp(-(now - sinceNanos) / window)));
		return mass / weight(now) / Math.max(MIN_OBSERVED_SHARE * this.minWindowNanos, seen);
	}

	// The part of the window that this meter was there for, faded as what it recorded.
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

	// The variance of a sum of requests that come by chance is the sum of their squares,
	// and its share of the sum's square falls as the window grows.
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

	// Space-saving: the newcomer inherits the rank of the smallest, not its load, so a
	// point that gets hot rises within a few requests while the sum stays right.
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
