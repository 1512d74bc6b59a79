package org.brasspier.core;

import org.jspecify.annotations.Nullable;

/**
 * Fencing token: a number that increases each time a range gets another owner or another
 * incarnation of the same owner. A component that has seen a higher fence rejects a lower
 * one. Immutable and thread-safe.
 *
 * @param value the number, at least 1; 0 means that none has been granted yet
 */
public record Fence(long value) implements Comparable<Fence> {

	/** Older than every fence that is ever granted. */
	public static final Fence NONE = new Fence(0);

	/**
	 * Validates the number.
	 * @throws IllegalArgumentException if the number is negative
	 */
	public Fence {
		if (value < 0) {
			throw new IllegalArgumentException("fence %d must not be negative".formatted(value));
		}
	}

	/**
	 * Returns whether this fence is older than another one.
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

	// Written by hand: the generated methods use method handles, which take milliseconds
	// to set up in a process that has just started.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof Fence that && this.value == that.value;
	}

	@Override
	public int hashCode() {
		return Long.hashCode(this.value);
	}

}
