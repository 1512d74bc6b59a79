package org.brasspier.cli.internal;

import java.util.List;

/**
 * Result of a command. Immutable and thread-safe as long as the message is not modified.
 *
 * @param message result that is printed as JSON
 * @param lines result as lines of text
 */
record Report(Object message, List<String> lines) {

	Report {
		lines = List.copyOf(lines);
	}

	static Report of(Object message, String... lines) {
		return new Report(message, List.of(lines));
	}

}
