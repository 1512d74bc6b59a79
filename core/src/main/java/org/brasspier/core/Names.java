package org.brasspier.core;

/**
 * Validates names that appear in headers, tables and logs.
 */
final class Names {

	private static final int MAX_LENGTH = 64;

	private Names() {
	}

	static void check(String what, String value) {
		if (!isValid(value)) {
			throw new IllegalArgumentException(
					"%s \"%s\" must have 1 to 64 characters of a-z A-Z 0-9 . _ - (see TROUBLESHOOTING.md#bad-name)"
						.formatted(what, value));
		}
	}

	// Every message between daemons carries names, and matching a regular expression
	// costs several times as much.
	private static boolean isValid(String value) {
		if (value.isEmpty() || value.length() > MAX_LENGTH) {
			return false;
		}
		for (int i = 0; i < value.length(); i++) {
			char c = value.charAt(i);
			boolean valid = (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || c == '-'
					|| c == '.' || c == '_';
			if (!valid) {
				return false;
			}
		}
		return true;
	}

}
