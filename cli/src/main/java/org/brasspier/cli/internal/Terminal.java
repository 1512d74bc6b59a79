package org.brasspier.cli.internal;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;

import org.jspecify.annotations.Nullable;

/**
 * Where the operator sits. Not thread-safe.
 *
 * @param in what the operator types
 * @param out results
 * @param err questions, progress and errors, so that results can be piped
 * @param interactive whether there is somebody to ask
 */
public record Terminal(BufferedReader in, PrintStream out, PrintStream err, boolean interactive) {

	/**
	 * Asks the operator.
	 * @param question the question
	 * @return the line that was typed, without blanks around it; null at the end of input
	 */
	@Nullable String ask(String question) {
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
	 * Asks for a yes.
	 * @param question the question
	 * @return whether the answer was yes; false where nobody can be asked
	 */
	boolean confirm(String question) {
		return this.interactive && "yes".equalsIgnoreCase(ask(question + " Type yes to go on: "));
	}

	void progress(String line) {
		this.err.println(line);
	}

}
