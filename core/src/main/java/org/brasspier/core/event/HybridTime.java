package org.brasspier.core.event;

/**
 * A time that is never earlier than that of any event which caused this one: the wall
 * clock's milliseconds in the upper 48 bits and a counter in the lower 16. Comparing two
 * gives an order over all processes that respects cause and effect. Immutable and
 * thread-safe.
 *
 * @param packed both parts, as they travel in messages
 */
public record HybridTime(long packed) implements Comparable<HybridTime> {

	static final int COUNTER_BITS = 16;

	/**
	 * The wall clock's part.
	 * @return milliseconds since 1970
	 */
	public long millis() {
		return this.packed >>> COUNTER_BITS;
	}

	@Override
	public int compareTo(HybridTime other) {
		return Long.compareUnsigned(this.packed, other.packed);
	}

}
