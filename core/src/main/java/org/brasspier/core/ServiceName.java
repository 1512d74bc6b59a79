package org.brasspier.core;

import org.jspecify.annotations.Nullable;

/**
 * Name of a service, as operators configure it and callers address it. Immutable and
 * thread-safe.
 *
 * @param value the text, of one to 64 characters from {@code a-z}, {@code A-Z},
 * {@code 0-9}, dot, underscore and hyphen
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

	/**
	 * Validates the text.
	 * @throws IllegalArgumentException if the text is not a valid name
	 */
	public ServiceName {
		Names.check("service name", value);
	}

	@Override
	public int compareTo(ServiceName other) {
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
		return other instanceof ServiceName that && this.value.equals(that.value);
	}

	@Override
	public int hashCode() {
		return this.value.hashCode();
	}

}
