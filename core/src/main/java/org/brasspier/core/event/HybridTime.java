package org.brasspier.core.event;

/**
 * A timestamp of a hybrid logical clock, never earlier than that of any event which
 * caused this one. The upper 48 bits contain the wall clock time in milliseconds, the
 * lower 16 bits a counter. Comparing timestamps orders events of all processes
 * consistently with cause and effect. Immutable and thread-safe.
 *
 * @param packed both parts, as sent in messages
 */
public record HybridTime(long packed) implements Comparable<HybridTime> {

	static final int COUNTER_BITS = 16;

	/**
	 * Returns the wall clock part.
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
