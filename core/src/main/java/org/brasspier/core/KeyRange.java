package org.brasspier.core;

import java.util.List;
import java.util.stream.LongStream;

/**
 * A contiguous range of points in the hash space, the unit of ownership. Immutable and
 * thread-safe.
 *
 * @param low the first point
 * @param high the point after the last one (exclusive)
 */
public record KeyRange(long low, long high) implements Comparable<KeyRange> {

	/** The whole hash space. */
	public static final KeyRange ALL = new KeyRange(0, KeyHash.SPACE);

	/**
	 * Validates the bounds.
	 * @throws IllegalArgumentException if the range is empty or exceeds the hash space
	 */
	public KeyRange {
		if (low < 0 || high > KeyHash.SPACE || low >= high) {
			throw new IllegalArgumentException(
					"range [%d, %d) is empty or outside the hash space".formatted(low, high));
		}
	}

	/**
	 * Splits the hash space into equal ranges.
	 * @param count the number of ranges, at least 1
	 * @return the ranges in order
	 */
	public static List<KeyRange> split(int count) {
		if (count < 1) {
			throw new IllegalArgumentException("count %d must be at least 1".formatted(count));
		}
		return LongStream.range(0, count)
			.mapToObj((i) -> new KeyRange(KeyHash.SPACE / count * i,
					(i == count - 1) ? KeyHash.SPACE : KeyHash.SPACE / count * (i + 1)))
			.toList();
	}

	/**
	 * Returns whether a point lies in this range.
	 * @param hash the point
	 * @return true if it does
	 */
	public boolean contains(KeyHash hash) {
		return this.low <= hash.point() && hash.point() < this.high;
	}

	/**
	 * Returns the number of points in this range.
	 * @return at least 1
	 */
	public long size() {
		return this.high - this.low;
	}

	@Override
	public int compareTo(KeyRange other) {
		int byLow = Long.compare(this.low, other.low);
		return (byLow != 0) ? byLow : Long.compare(this.high, other.high);
	}

	@Override
	public String toString() {
		return "%08x-%08x".formatted(this.low, this.high - 1);
	}

}
