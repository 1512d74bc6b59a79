package org.brasspier.core.keys;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Measures the request rate of each key and splits spans into pieces of about equal load.
 * The rate of a whole span is too coarse: busy keys lie close together, and half of all
 * load may lie in 1 % of the keys. Not thread-safe.
 */
public final class KeyMeter {

	/**
	 * Fraction of a rate that remains after one second without requests. The rate then
	 * averages about two seconds: long enough to limit the random error to a tenth at 100
	 * requests per second, short enough for newly received keys to count soon.
	 */
	private static final double DECAY_PER_SECOND = 0.5;

	/**
	 * Growth factor of the total rate above which the old rates are discarded, because
	 * they no longer predict how the load is distributed.
	 */
	private static final double SURGE_FACTOR = 1.6;

	private static final double SECOND_NANOS = Duration.ofSeconds(1).toNanos();

	/** Approximate number of pieces into which a holder's load is split. */
	private static final int TARGET_PIECES = 16;

	/** Rate, in requests per second, below which a piece isn't worth splitting off. */
	private static final double MIN_PIECE_RATE = 2;

	private final int[] counts = new int[KeySpan.LAST_KEY + 1];

	private final double[] rates = new double[KeySpan.LAST_KEY + 1];

	private long updatedNanos;

	private double total;

	/**
	 * Creates a meter without counts.
	 * @param now the current time, in nanoseconds of a steady clock
	 */
	public KeyMeter(long now) {
		this.updatedNanos = now;
	}

	/**
	 * Counts a request.
	 * @param key the key of the request, 0 to 65535
	 */
	public void recordRequest(int key) {
		this.counts[key]++;
	}

	/**
	 * Updates the rates with the requests counted since the last call.
	 * @param now the current time, in nanoseconds
	 */
	public void updateRates(long now) {
		double seconds = Math.max(1e-3, (now - this.updatedNanos) / SECOND_NANOS);
		double currentRate = Arrays.stream(this.counts).sum() / seconds;
		double weight = (currentRate > SURGE_FACTOR * this.total) ? 0 : Math.pow(DECAY_PER_SECOND, seconds);
		this.updatedNanos = now;
		this.total = this.total * weight + currentRate * (1 - weight);
		for (int key = 0; key <= KeySpan.LAST_KEY; key++) {
			if (this.counts[key] != 0 || this.rates[key] != 0) {
				this.rates[key] = this.rates[key] * weight + this.counts[key] / seconds * (1 - weight);
				this.counts[key] = 0;
			}
		}
	}

	/**
	 * Splits spans into pieces of about equal load.
	 * @param spans the spans, in the order of their keys
	 * @return the pieces with their load; together they cover the spans
	 */
	public List<KeyLoad> split(List<KeySpan> spans) {
		double total = spans.stream().mapToDouble(this::rate).sum();
		double maxRate = Math.max(MIN_PIECE_RATE, total / TARGET_PIECES);
		List<KeyLoad> pieces = new ArrayList<>();
		spans.forEach((span) -> splitSpan(span, maxRate, pieces));
		return pieces;
	}

	private double rate(KeySpan span) {
		double sum = 0;
		for (int key = span.from(); key <= span.to(); key++) {
			sum += this.rates[key];
		}
		return sum;
	}

	private void splitSpan(KeySpan span, double maxRate, List<KeyLoad> pieces) {
		int from = span.from();
		double sum = 0;
		for (int key = span.from(); key <= span.to(); key++) {
			double rate = this.rates[key];
			if (sum > 0 && sum + rate > maxRate && key > from) {
				pieces.add(new KeyLoad(new KeySpan(from, key - 1), sum));
				from = key;
				sum = 0;
			}
			sum += rate;
		}
		pieces.add(new KeyLoad(new KeySpan(from, span.to()), sum));
	}

}
