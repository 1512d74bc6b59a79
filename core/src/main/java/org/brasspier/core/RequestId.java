package org.brasspier.core;

import java.util.regex.Pattern;

/**
 * Identity that a caller assigns to a request and repeats on each retry of it. Immutable
 * and thread-safe.
 *
 * @param value 1 to 128 visible ASCII characters
 */
public record RequestId(String value) {

	private static final Pattern VALID = Pattern.compile("[\\x21-\\x7e]{1,128}");

	/**
	 * Validates the text.
	 * @throws IllegalArgumentException if the text is not a valid request id
	 */
	public RequestId {
		if (!VALID.matcher(value).matches()) {
			throw new IllegalArgumentException(
					"request id must have 1 to 128 visible ASCII characters, has %d (see TROUBLESHOOTING.md#bad-request-id)"
						.formatted(value.length()));
		}
	}

	@Override
	public String toString() {
		return this.value;
	}

}
