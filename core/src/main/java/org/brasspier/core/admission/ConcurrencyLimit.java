package org.brasspier.core.admission;

import java.util.stream.IntStream;

/**
 * How many requests a backend server really works on at once, from what was observed.
 * Made for servers that announce more slots than they have or lose some: what is handed
 * over beyond them waits inside, where nobody orders it. Compares the throughput at each
 * concurrency, so a server that is slow at any concurrency keeps all its slots. Not
 * thread-safe.
 * <p>
 * It learns from load that varies. Under lasting saturation only the highest concurrency
 * is seen; trying fewer from time to time was measured and cost honest servers more than
 * it gained with overstated ones (docs/MEASUREMENTS.md).
 */
final class ConcurrencyLimit {

	/**
	 * The weight of a new observation at one concurrency: run times that vary by their
	 * own mean leave an error of 6 in 100, well below what counts as slower.
	 */
	private static final double WEIGHT = 1.0 / 128;

	/** Fewer observations than this at one concurrency say nothing. */
	private static final int FEWEST_OBSERVED = 100;

	/** How often the limit is worked out, in observations. */
	private static final int EVERY = 50;

	/**
	 * A run that a stall made hundreds of times longer counts as this many times; a lower
	 * bound would cut the long runs that a full server is known by.
	 */
	private static final double LONGEST_RELATIVE = 20;

	/**
	 * Requests beyond the limit must have been slower by this factor; chance alone makes
	 * two concurrencies differ by a tenth.
	 */
	private static final double SURELY_SLOWER = 1.3;

	/** The share of the best throughput that the limit must reach. */
	private static final double ENOUGH = 0.9;

	private final double[] relativeTimes;

	private final int[] counts;

	private int limit;

	private int sinceWorkedOut;

	ConcurrencyLimit(int most) {
		this.relativeTimes = new double[most + 1];
		this.counts = new int[most + 1];
		this.limit = most;
	}

	int limit() {
		return this.limit;
	}

	/**
	 * Takes an answered request.
	 * @param concurrency how many ran when it began, itself included; how many ran while
	 * it did would tell long requests from short ones
	 * @param relativeTime how long it took over what its class usually takes
	 */
	void observe(int concurrency, double relativeTime) {
		int at = Math.clamp(concurrency, 1, most());
		double time = Math.min(LONGEST_RELATIVE, relativeTime);
		double weight = Math.max(WEIGHT, 1.0 / (this.counts[at] + 1));
		this.counts[at]++;
		this.relativeTimes[at] += weight * (time - this.relativeTimes[at]);
		this.sinceWorkedOut++;
		if (this.sinceWorkedOut >= EVERY) {
			this.sinceWorkedOut = 0;
			workOut();
		}
	}

	/**
	 * Takes a request that the backend server shed.
	 * @param concurrency how many ran beside it, itself included
	 */
	void shed(int concurrency) {
		this.limit = Math.clamp(Math.min(this.limit, concurrency - 1), 1, most());
	}

	// One more than what is known to be enough, so that it shows when the server has got
	// its slots back.
	private void workOut() {
		double best = observed().mapToDouble(this::throughput).max().orElse(0);
		int enough = observed().filter((at) -> throughput(at) >= ENOUGH * best).findFirst().orElse(most());
		boolean slower = observed().filter((at) -> at > enough)
			.anyMatch((at) -> this.relativeTimes[at] > SURELY_SLOWER * this.relativeTimes[enough]);
		this.limit = Math.min(most(), slower ? enough + 1 : this.limit + 1);
	}

	private IntStream observed() {
		return IntStream.rangeClosed(1, most()).filter((at) -> this.counts[at] >= FEWEST_OBSERVED);
	}

	private double throughput(int concurrency) {
		return concurrency / this.relativeTimes[concurrency];
	}

	private int most() {
		return this.counts.length - 1;
	}

}
