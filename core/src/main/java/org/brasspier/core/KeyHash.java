package org.brasspier.core;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Position of a key in the hash space. The space has 2^32 points so that a bound of a
 * range takes at most five bytes on the wire. With 2.9 billion keys, some share a point;
 * this is harmless, because ownership is assigned by point, not by key. Immutable and
 * thread-safe.
 *
 * @param point the point, from 0 to 2^32 - 1
 */
public record KeyHash(long point) implements Comparable<KeyHash> {

	/** The number of points of the hash space. */
	public static final long SPACE = 1L << 32;

	/**
	 * Validates the point.
	 * @throws IllegalArgumentException if the point is outside the hash space
	 */
	public KeyHash {
		if (point < 0 || point >= SPACE) {
			throw new IllegalArgumentException("point %d is outside 0 to 2^32 - 1".formatted(point));
		}
	}

	/**
	 * Hashes a key or a request id. All daemons of all versions must agree on this
	 * function, so it must never change.
	 * @param key the text to hash, by its UTF-16 code units
	 * @return the point of the key
	 */
	public static KeyHash of(String key) {
		return new KeyHash(Hashing.komihash5_0().hashCharsToLong(key) >>> 32);
	}

	@Override
	public int compareTo(KeyHash other) {
		return Long.compare(this.point, other.point);
	}

}
