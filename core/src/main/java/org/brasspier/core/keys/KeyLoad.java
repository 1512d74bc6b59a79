package org.brasspier.core.keys;

/**
 * Load of a span of keys. Immutable and thread-safe.
 *
 * @param span the keys
 * @param rate requests per second, including rejected ones
 */
public record KeyLoad(KeySpan span, double rate) {

	/**
	 * Checks the rate.
	 * @throws IllegalArgumentException if it is negative or not a number
	 */
	public KeyLoad {
		if (!(rate >= 0)) {
			throw new IllegalArgumentException("keys %s: rate %s must not be negative".formatted(span, rate));
		}
	}

}
