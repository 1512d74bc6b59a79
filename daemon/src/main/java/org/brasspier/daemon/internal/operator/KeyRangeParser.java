package org.brasspier.daemon.internal.operator;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.brasspier.core.KeyRange;

/**
 * Parses ranges of key hashes from the requests of operators. Stateless and thread-safe.
 */
final class KeyRangeParser {

	private static final Pattern RANGE = Pattern.compile("([0-9a-fA-F]{1,8})-([0-9a-fA-F]{1,8})");

	private static final int HEXADECIMAL = 16;

	private KeyRangeParser() {
	}

	/**
	 * Parses a range.
	 * @param text {@code LOW-HIGH} in hexadecimal, both inclusive
	 * @return the range
	 * @throws IllegalArgumentException if the text has another form
	 */
	static KeyRange parse(String text) {
		Matcher matcher = RANGE.matcher(text);
		if (!matcher.matches()) {
			throw new IllegalArgumentException(
					"range \"%s\" must have the form LOW-HIGH in hexadecimal (see TROUBLESHOOTING.md#bad-operator-request)"
						.formatted(text));
		}
		return new KeyRange(Long.parseLong(matcher.group(1), HEXADECIMAL),
				Long.parseLong(matcher.group(2), HEXADECIMAL) + 1);
	}

}
