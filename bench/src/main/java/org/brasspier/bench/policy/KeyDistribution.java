package org.brasspier.bench.policy;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/**
 * The distribution of the requested keys.
 *
 * @param keys the number of keys
 * @param zipf the Zipf exponent of their popularity, 0 for a uniform distribution
 * @param hottestShare the additional share of requests for a single hot key, 0 for none
 * @param changeIntervalNanos the interval at which the hot keys change, 0 for never
 */
record KeyDistribution(int keys, double zipf, double hottestShare, long changeIntervalNanos) {

	static final KeyDistribution EVEN = new KeyDistribution(20_000, 0, 0, 0);

	static final KeyDistribution SKEWED = new KeyDistribution(20_000, 1.2, 0, 0);

	static final KeyDistribution ONE_HOT = new KeyDistribution(20_000, 0, 0.3, 0);

	static final KeyDistribution CHANGING = new KeyDistribution(20_000, 1.2, 0, 60 * VirtualTime.SECOND);

	/**
	 * Returns a source of random keys. Popularity ranks are mapped to keys with an offset
	 * that differs after each change of the hot keys.
	 * @return the source
	 */
	Source source() {
		double[] cumulative = new double[this.keys];
		double sum = 0;
		for (int i = 0; i < this.keys; i++) {
			sum += Math.pow(i + 1, -this.zipf);
			cumulative[i] = sum;
		}
		double total = sum;
		return (random, now) -> {
			long period = (this.changeIntervalNanos > 0) ? now / this.changeIntervalNanos : 0;
			if (random.nextDouble() < this.hottestShare) {
				return "hot-" + period;
			}
			int found = Arrays.binarySearch(cumulative, random.nextDouble() * total);
			int rank = (found >= 0) ? found : -found - 1;
			return "key-" + (rank + period * 7919) % this.keys;
		};
	}

	double maxKeyShare() {
		double sum = 0;
		for (int i = 0; i < this.keys; i++) {
			sum += Math.pow(i + 1, -this.zipf);
		}
		return Math.max(this.hottestShare, (1 - this.hottestShare) / sum);
	}

	@FunctionalInterface
	interface Source {

		String next(RandomGenerator random, long now);

	}

}
