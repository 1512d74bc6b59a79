package org.brasspier.core;

import org.jspecify.annotations.Nullable;

/**
 * Identity of an instance: one daemon and its local backend server. Immutable and
 * thread-safe.
 *
 * @param value the text, of one to 64 characters from {@code a-z}, {@code A-Z},
 * {@code 0-9}, dot, underscore and hyphen
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

	/**
	 * Validates the text.
	 * @throws IllegalArgumentException if the text is not a valid name
	 */
	public InstanceId {
		Names.check("instance id", value);
	}

	@Override
	public int compareTo(InstanceId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

	// Implemented by hand: the generated methods use method handles, which take
	// milliseconds to set up in a process that has just started.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof InstanceId that && this.value.equals(that.value);
	}

	@Override
	public int hashCode() {
		return this.value.hashCode();
	}

}
