package org.brasspier.core;

import java.util.regex.Pattern;

/**
 * The identity that a caller gives to one request and repeats on each resend of it.
 * Immutable and thread-safe.
 *
 * @param value 1 to 128 visible ASCII characters
 */
public record RequestId(String value) {

	private static final Pattern VALID = Pattern.compile("[\\x21-\\x7e]{1,128}");

	/**
	 * Checks the text.
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
