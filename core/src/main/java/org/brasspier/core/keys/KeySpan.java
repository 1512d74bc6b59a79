package org.brasspier.core.keys;

import org.jspecify.annotations.Nullable;

/**
 * An inclusive range of keys. Immutable and thread-safe.
 *
 * @param from the first key, 0 to 65535
 * @param to the last key, not before the first
 */
public record KeySpan(int from, int to) {

	/** The highest key. */
	public static final int LAST_KEY = 65_535;

	/**
	 * Checks the bounds.
	 * @throws IllegalArgumentException if they are out of order or out of range
	 */
	public KeySpan {
		if (from < 0 || to < from || to > LAST_KEY) {
			throw new IllegalArgumentException(
					"keys %d to %d must be in order and from 0 to %d".formatted(from, to, LAST_KEY));
		}
	}

	/**
	 * Returns whether the span contains a key.
	 * @param key the key
	 * @return true if it does
	 */
	public boolean contains(int key) {
		return this.from <= key && key <= this.to;
	}

	/**
	 * Returns whether this span contains all of another span.
	 * @param other the other span
	 * @return true if it does
	 */
	public boolean covers(KeySpan other) {
		return this.from <= other.from && other.to <= this.to;
	}

	/**
	 * Returns whether the two spans have a key in common.
	 * @param other the other span
	 * @return true if they do
	 */
	public boolean overlaps(KeySpan other) {
		return this.from <= other.to && other.from <= this.to;
	}

	/**
	 * Returns the number of keys in the span.
	 * @return at least 1
	 */
	public int size() {
		return this.to - this.from + 1;
	}

	@Override
	public String toString() {
		return this.from + "-" + this.to;
	}

	// Written by hand: the generated methods use method handles, whose setup takes
	// milliseconds in a process that has just started.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof KeySpan that && this.from == that.from && this.to == that.to;
	}

	@Override
	public int hashCode() {
		return 31 * this.from + this.to;
	}

}
