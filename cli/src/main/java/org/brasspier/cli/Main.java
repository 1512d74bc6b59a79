package org.brasspier.cli;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;

import org.brasspier.cli.internal.CommandLine;
import org.brasspier.cli.internal.Terminal;

/**
 * The program {@code brasspier}.
 */
public final class Main {

	private Main() {
	}

	/**
	 * Runs one command. The exit code is 0, or that of the error's kind, as docs/API.md
	 * lists them.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		Terminal terminal = new Terminal(new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)),
				System.out, System.err, System.console() != null && System.console().isTerminal());
		System.exit(new CommandLine(terminal, System.getenv()).run(arguments));
	}

}
