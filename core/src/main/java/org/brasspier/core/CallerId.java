package org.brasspier.core;

import org.jspecify.annotations.Nullable;

/**
 * Name of a caller, under which its share of a service is accounted. Immutable and
 * thread-safe.
 *
 * @param value the text, of one to 64 characters from {@code a-z}, {@code A-Z},
 * {@code 0-9}, dot, underscore and hyphen
 */
public record CallerId(String value) implements Comparable<CallerId> {

	/**
	 * Validates the text.
	 * @throws IllegalArgumentException if the text is not a valid name
	 */
	public CallerId {
		Names.check("caller id", value);
	}

	@Override
	public int compareTo(CallerId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

	// Written by hand: the generated methods use method handles, which take milliseconds
	// to set up in a process that has just started.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof CallerId that && this.value.equals(that.value);
	}

	@Override
	public int hashCode() {
		return this.value.hashCode();
	}

}
