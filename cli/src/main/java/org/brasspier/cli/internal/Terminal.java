package org.brasspier.cli.internal;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;

import org.jspecify.annotations.Nullable;

/**
 * Input and output streams of the operator's terminal. Not thread-safe.
 *
 * @param in input typed by the operator
 * @param out stream for results
 * @param err stream for prompts, progress and errors, separate so that results can be
 * piped
 * @param interactive whether an operator can answer prompts
 */
public record Terminal(BufferedReader in, PrintStream out, PrintStream err, boolean interactive) {

	/**
	 * Prompts the operator for one line.
	 * @param question prompt text
	 * @return the line without surrounding whitespace; null at the end of input
	 */
	@Nullable String prompt(String question) {
		this.err.print(question);
		this.err.flush();
		try {
			String line = this.in.readLine();
			return (line != null) ? line.strip() : null;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Asks the operator to confirm an action.
	 * @param question prompt text
	 * @return whether the operator typed yes; false if the terminal is not interactive
	 */
	boolean confirm(String question) {
		return this.interactive && "yes".equalsIgnoreCase(prompt(question + " Type yes to continue: "));
	}

	void printProgress(String line) {
		this.err.println(line);
	}

}
