package org.brasspier.bench.policy;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/**
 * Which keys are asked for.
 *
 * @param keys the number of keys
 * @param zipf the exponent of their popularity, 0 for all the same
 * @param hottestShare the share that one key has besides, 0 for none
 * @param changeIntervalNanos how often other keys get hot, 0 for never
 */
record KeyDistribution(int keys, double zipf, double hottestShare, long changeIntervalNanos) {

	static final KeyDistribution EVEN = new KeyDistribution(20_000, 0, 0, 0);

	static final KeyDistribution SKEWED = new KeyDistribution(20_000, 1.2, 0, 0);

	static final KeyDistribution ONE_HOT = new KeyDistribution(20_000, 0, 0.3, 0);

	static final KeyDistribution CHANGING = new KeyDistribution(20_000, 1.2, 0, 60 * VirtualTime.SECOND);

	/**
	 * A source of keys. Ranks become keys by a fixed walk that starts elsewhere after
	 * each change.
	 * @return the source
	 */
	Source source() {
		double[] cumulative = new double[this.keys];
		double sum = 0;
		for (int i = 0; i < this.keys; i++) {
			sum += Math.pow(i + 1, -this.zipf);
			cumulative[i] = sum;
		}
		double all = sum;
		return (random, now) -> {
			long era = (this.changeIntervalNanos > 0) ? now / this.changeIntervalNanos : 0;
			if (random.nextDouble() < this.hottestShare) {
				return "hot-" + era;
			}
			int found = Arrays.binarySearch(cumulative, random.nextDouble() * all);
			int rank = (found >= 0) ? found : -found - 1;
			return "key-" + (rank + era * 7919) % this.keys;
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
