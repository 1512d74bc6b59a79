package org.brasspier.core;

/**
 * A number that grows each time a range gets another owner or another incarnation of the
 * same owner. Whoever has seen a higher fence refuses a lower one. Immutable and
 * thread-safe.
 *
 * @param value the number, at least 1; 0 stands for "none yet"
 */
public record Fence(long value) implements Comparable<Fence> {

	/** Older than each fence that was ever granted. */
	public static final Fence NONE = new Fence(0);

	/**
	 * Checks the number.
	 * @throws IllegalArgumentException if the number is negative
	 */
	public Fence {
		if (value < 0) {
			throw new IllegalArgumentException("fence %d must not be negative".formatted(value));
		}
	}

	/**
	 * Whether this fence is older than the other.
	 * @param other the fence to compare with
	 * @return true if this one was granted earlier
	 */
	public boolean isOlderThan(Fence other) {
		return this.value < other.value;
	}

	@Override
	public int compareTo(Fence other) {
		return Long.compare(this.value, other.value);
	}

	@Override
	public String toString() {
		return Long.toString(this.value);
	}

}
