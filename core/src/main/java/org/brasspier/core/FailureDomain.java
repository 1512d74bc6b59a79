package org.brasspier.core;

/**
 * The name of a failure domain, the set of instances that one fault may take together.
 * Immutable and thread-safe.
 *
 * @param value the text, of one to 64 characters from {@code a-z}, {@code A-Z},
 * {@code 0-9}, dot, underscore and hyphen
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

	/**
	 * Checks the text.
	 * @throws IllegalArgumentException if the text is not a valid name
	 */
	public FailureDomain {
		Names.check("failure domain", value);
	}

	@Override
	public int compareTo(FailureDomain other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
