package org.brasspier.cli.internal;

import java.util.List;

/**
 * What a command has found. Immutable as long as nobody changes the message; thread-safe.
 *
 * @param message the result for programs
 * @param lines the result for people
 */
record Report(Object message, List<String> lines) {

	Report {
		lines = List.copyOf(lines);
	}

	static Report of(Object message, String... lines) {
		return new Report(message, List.of(lines));
	}

}
