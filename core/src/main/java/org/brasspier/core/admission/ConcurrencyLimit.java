package org.brasspier.core.admission;

/**
 * Estimates how many requests a backend server really processes at once. Needed for
 * servers that announce more slots than they have, or that lose slots: excess requests
 * wait inside the server, where no priority applies. Compares the throughput at each
 * concurrency, so a server that is slow at any concurrency keeps all its slots. Not
 * thread-safe.
 * <p>
 * The estimate needs a varying load. Under lasting saturation only the highest
 * concurrency is observed. Probing lower concurrencies from time to time was measured,
 * and cost correctly configured servers more than it gained with servers that announce
 * too many slots (docs/MEASUREMENTS.md).
 */
final class ConcurrencyLimit {

	/**
	 * Weight of a new observation at one concurrency. Run times whose standard deviation
	 * equals their mean leave an error of 6 in 100, well below the slowdown factor.
	 */
	private static final double WEIGHT = 1.0 / 128;

	/** Number of observations from which the throughput at a concurrency is used. */
	private static final int MIN_OBSERVATIONS = 100;

	/** Number of observations between updates of the limit. */
	private static final int UPDATE_INTERVAL = 50;

	/**
	 * Cap on the relative time of a run, for runs that a stall made hundreds of times
	 * longer. A smaller cap would also truncate the long runs that indicate a full
	 * server.
	 */
	private static final double MAX_RELATIVE_TIME = 20;

	/**
	 * Factor by which requests above the sufficient concurrency must be slower; random
	 * variation alone makes two concurrencies differ by a tenth.
	 */
	private static final double SLOWDOWN_FACTOR = 1.3;

	/** Share of the best throughput that must be reached at the limit. */
	private static final double MIN_THROUGHPUT_SHARE = 0.9;

	private final double[] relativeTimes;

	private final int[] counts;

	private int limit;

	private int sinceUpdate;

	ConcurrencyLimit(int maxConcurrency) {
		this.relativeTimes = new double[maxConcurrency + 1];
		this.counts = new int[maxConcurrency + 1];
		this.limit = maxConcurrency;
	}

	int limit() {
		return this.limit;
	}

	/**
	 * Records an answered request.
	 * @param concurrency number of running requests when it started, including itself;
	 * the number during its run would correlate with its duration
	 * @param relativeTime its duration divided by the usual duration of its class
	 */
	void observe(int concurrency, double relativeTime) {
		int level = Math.clamp(concurrency, 1, maxConcurrency());
		double time = Math.min(MAX_RELATIVE_TIME, relativeTime);
		double weight = Math.max(WEIGHT, 1.0 / (this.counts[level] + 1));
		this.counts[level]++;
		this.relativeTimes[level] += weight * (time - this.relativeTimes[level]);
		this.sinceUpdate++;
		if (this.sinceUpdate >= UPDATE_INTERVAL) {
			this.sinceUpdate = 0;
			updateLimit();
		}
	}

	/**
	 * Records a request that the backend server shed.
	 * @param concurrency number of running requests when it started, including itself
	 */
	void onShed(int concurrency) {
		this.limit = Math.clamp(Math.min(this.limit, concurrency - 1), 1, maxConcurrency());
	}

	// If a higher concurrency is slower, the limit is set to one above the sufficient
	// concurrency, so that recovered slots are detected. Otherwise it rises by one.
	private void updateLimit() {
		int sufficient = sufficientConcurrency();
		boolean slower = false;
		for (int level = sufficient + 1; level <= maxConcurrency(); level++) {
			slower |= isObserved(level) && this.relativeTimes[level] > SLOWDOWN_FACTOR * this.relativeTimes[sufficient];
		}
		this.limit = Math.min(maxConcurrency(), slower ? sufficient + 1 : this.limit + 1);
	}

	// Returns the lowest observed concurrency whose throughput is close to the best.
	private int sufficientConcurrency() {
		double best = 0;
		for (int level = 1; level <= maxConcurrency(); level++) {
			best = isObserved(level) ? Math.max(best, throughput(level)) : best;
		}
		for (int level = 1; level <= maxConcurrency(); level++) {
			if (isObserved(level) && throughput(level) >= MIN_THROUGHPUT_SHARE * best) {
				return level;
			}
		}
		return maxConcurrency();
	}

	private boolean isObserved(int level) {
		return this.counts[level] >= MIN_OBSERVATIONS;
	}

	private double throughput(int concurrency) {
		return concurrency / this.relativeTimes[concurrency];
	}

	private int maxConcurrency() {
		return this.counts.length - 1;
	}

}
