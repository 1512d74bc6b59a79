package org.brasspier.integration.document;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.brasspier.cli.internal.CommandLine;
import org.brasspier.cli.internal.Terminal;

/**
 * Runs the command line tool for one operator. Not thread-safe.
 */
final class OperatorTool {

	private final Path draft;

	private final String daemons;

	private final String secret;

	OperatorTool(Path draft, String daemons, String secret) {
		this.draft = draft;
		this.daemons = daemons;
		this.secret = secret;
	}

	Result run(String... arguments) {
		return run("", false, arguments);
	}

	/** Runs a command at an interactive terminal with the given input lines. */
	Result runInteractively(String lines, String... arguments) {
		return run(lines, true, arguments);
	}

	private Result run(String input, boolean interactive, String... arguments) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		ByteArrayOutputStream err = new ByteArrayOutputStream();
		Terminal terminal = new Terminal(new BufferedReader(new StringReader(input)),
				new PrintStream(out, true, StandardCharsets.UTF_8), new PrintStream(err, true, StandardCharsets.UTF_8),
				interactive);
		List<String> allArguments = new ArrayList<>(List.of("--draft", this.draft.toString()));
		allArguments.addAll(List.of(arguments));
		int exit = new CommandLine(terminal,
				Map.of("BRASSPIER_DAEMON", this.daemons, "BRASSPIER_OPERATOR_SECRET", this.secret))
			.run(allArguments.toArray(String[]::new));
		return new Result(exit, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
	}

	/**
	 * The outcome of a command.
	 *
	 * @param exit the exit code
	 * @param out the standard output, which holds the result
	 * @param err the standard error, which holds progress and errors
	 */
	record Result(int exit, String out, String err) {

	}

}
