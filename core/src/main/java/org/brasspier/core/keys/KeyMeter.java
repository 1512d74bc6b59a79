package org.brasspier.core.keys;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Counts how often each key is asked for, and cuts spans into pieces of about equal load.
 * Busy keys lie close together, so a span as a whole says too little: half of all load
 * may lie in a hundredth of the keys. Not thread-safe.
 */
public final class KeyMeter {

	/**
	 * How much of a rate is left after one second without requests. The rate then stands
	 * for some two seconds: long enough that chance is a tenth at a hundred requests a
	 * second, short enough that keys that have just come count soon.
	 */
	private static final double KEEP = 0.5;

	/**
	 * When so many times more is asked than before, what was before says nothing of how
	 * it spreads, and is forgotten.
	 */
	private static final double SURGE = 1.6;

	private static final double SECOND_NANOS = Duration.ofSeconds(1).toNanos();

	/** A holder's load is cut into about so many pieces. */
	private static final int PIECES = 16;

	/** A piece with less than this many requests a second isn't worth cutting out. */
	private static final double LEAST_RATE = 2;

	private final int[] counts = new int[KeySpan.LAST_KEY + 1];

	private final double[] rates = new double[KeySpan.LAST_KEY + 1];

	private long tickedNanos;

	private double total;

	/**
	 * Creates a meter that has counted nothing.
	 * @param now the time, in nanoseconds of a steady clock
	 */
	public KeyMeter(long now) {
		this.tickedNanos = now;
	}

	/**
	 * Counts a request.
	 * @param key its key, 0 to 65535
	 */
	public void recordRequest(int key) {
		this.counts[key]++;
	}

	/**
	 * Takes what was counted since the last call into the rates.
	 * @param now the time
	 */
	public void updateRates(long now) {
		double seconds = Math.max(1e-3, (now - this.tickedNanos) / SECOND_NANOS);
		double asked = Arrays.stream(this.counts).sum() / seconds;
		double keep = (asked > SURGE * this.total) ? 0 : Math.pow(KEEP, seconds);
		this.tickedNanos = now;
		this.total = this.total * keep + asked * (1 - keep);
		for (int key = 0; key <= KeySpan.LAST_KEY; key++) {
			if (this.counts[key] != 0 || this.rates[key] != 0) {
				this.rates[key] = this.rates[key] * keep + this.counts[key] / seconds * (1 - keep);
				this.counts[key] = 0;
			}
		}
	}

	/**
	 * Cuts spans into pieces.
	 * @param spans the spans, in the order of keys
	 * @return the pieces with their load; together they cover the spans
	 */
	public List<KeyLoad> split(List<KeySpan> spans) {
		double total = spans.stream().mapToDouble(this::rate).sum();
		double most = Math.max(LEAST_RATE, total / PIECES);
		List<KeyLoad> pieces = new ArrayList<>();
		spans.forEach((span) -> cut(span, most, pieces));
		return pieces;
	}

	private double rate(KeySpan span) {
		double sum = 0;
		for (int key = span.from(); key <= span.to(); key++) {
			sum += this.rates[key];
		}
		return sum;
	}

	private void cut(KeySpan span, double most, List<KeyLoad> pieces) {
		int from = span.from();
		double sum = 0;
		for (int key = span.from(); key <= span.to(); key++) {
			double rate = this.rates[key];
			if (sum > 0 && sum + rate > most && key > from) {
				pieces.add(new KeyLoad(new KeySpan(from, key - 1), sum));
				from = key;
				sum = 0;
			}
			sum += rate;
		}
		pieces.add(new KeyLoad(new KeySpan(from, span.to()), sum));
	}

}
