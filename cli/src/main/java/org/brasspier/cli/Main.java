package org.brasspier.cli;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;

import org.brasspier.cli.internal.CommandLine;
import org.brasspier.cli.internal.Terminal;

/**
 * Entry point of the {@code brasspier} command-line tool.
 */
public final class Main {

	private Main() {
	}

	/**
	 * Runs one command. Exits with code 0 on success, otherwise with the exit code of the
	 * error kind, as listed in docs/API.md.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		Terminal terminal = new Terminal(new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)),
				System.out, System.err, System.console() != null && System.console().isTerminal());
		System.exit(new CommandLine(terminal, System.getenv()).run(arguments));
	}

}
