package org.brasspier.core;

/**
 * The name of a service that operators describe and callers ask for. Immutable and
 * thread-safe.
 *
 * @param value the text, of one to 64 characters from {@code a-z}, {@code A-Z},
 * {@code 0-9}, dot, underscore and hyphen
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

	/**
	 * Checks the text.
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

}
