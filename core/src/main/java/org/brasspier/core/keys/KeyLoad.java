package org.brasspier.core.keys;

/**
 * How much is asked for some keys. Immutable and thread-safe.
 *
 * @param span the keys
 * @param rate requests a second, those that were turned away among them
 */
public record KeyLoad(KeySpan span, double rate) {

	/**
	 * Checks the rate.
	 * @throws IllegalArgumentException if it is negative or no number
	 */
	public KeyLoad {
		if (!(rate >= 0)) {
			throw new IllegalArgumentException("keys %s: rate %s must not be negative".formatted(span, rate));
		}
	}

}
