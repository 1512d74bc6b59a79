package org.brasspier.core;

import java.util.regex.Pattern;

/**
 * Validates names that appear in headers, tables and logs.
 */
final class Names {

	private static final Pattern VALID = Pattern.compile("[A-Za-z0-9._-]{1,64}");

	private Names() {
	}

	static void check(String what, String value) {
		if (!VALID.matcher(value).matches()) {
			throw new IllegalArgumentException(
					"%s \"%s\" must have 1 to 64 characters of a-z A-Z 0-9 . _ - (see TROUBLESHOOTING.md#bad-name)"
						.formatted(what, value));
		}
	}

}
