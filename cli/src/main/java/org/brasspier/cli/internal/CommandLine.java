package org.brasspier.cli.internal;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.wire.operator.ErrorAnswer;
import org.brasspier.wire.operator.OperatorJson;

/**
 * Parses the command line, runs the command and prints its result. Each instance runs one
 * command line. Not thread-safe.
 */
public final class CommandLine {

	private static final List<String> HELP_FLAGS = List.of("--help", "-h");

	private final Terminal terminal;

	private final Map<String, String> environment;

	private final GlobalFlags flags = new GlobalFlags();

	private final Map<String, Command> commands = new LinkedHashMap<>();

	/**
	 * Creates a command line with all commands.
	 * @param terminal the operator's terminal
	 * @param environment environment variables
	 */
	public CommandLine(Terminal terminal, Map<String, String> environment) {
		this.terminal = terminal;
		this.environment = Map.copyOf(environment);
		this.commands.put("form", new FormCommand());
		this.commands.put("draft", new DraftCommand());
		this.commands.put("config", new ConfigCommand());
		this.commands.put("status", new StatusCommand());
		this.commands.put("owner", new OwnerCommand());
		this.commands.put("measures", new MeasuresCommand());
		this.commands.put("timeline", new TimelineCommand());
		this.commands.put("drain", new DrainCommand());
		this.commands.put("undrain", new UndrainCommand());
		this.commands.put("move", new MoveCommand());
		this.commands.put("declare-lost", new DeclareLostCommand());
	}

	/**
	 * Runs one command.
	 * @param arguments the command line
	 * @return the exit code
	 */
	public int run(String... arguments) {
		JCommander commander = createCommander();
		try {
			// A help flag anywhere prints help, even if the rest is incomplete.
			if (Arrays.stream(arguments).anyMatch(HELP_FLAGS::contains)) {
				printHelp(commander, arguments);
				return 0;
			}
			parseArguments(commander, arguments);
			String name = commander.getParsedCommand();
			if (name == null) {
				printHelp(commander, arguments);
				return ErrorKind.BAD_REQUEST.exitCode();
			}
			return printResult(findCommand(name).run(createSession()));
		}
		catch (ParameterException | IllegalArgumentException | UncheckedIOException ex) {
			String detail = "%s; see brasspier --help".formatted(ex.getMessage());
			return printResult(Either.left(ErrorAnswer.of(Failure.of(ErrorKind.BAD_REQUEST, detail))));
		}
	}

	private JCommander createCommander() {
		JCommander commander = JCommander.newBuilder().addObject(this.flags).programName("brasspier").build();
		this.commands.forEach(commander::addCommand);
		return commander;
	}

	private static void parseArguments(JCommander commander, String[] arguments) {
		String[] expanded = FormCommand.expandFieldFlags(arguments);
		commander.parse(expanded);
		// JCommander itself accepts an unknown flag as an operand of the command.
		Set<String> knownFlags = Stream.concat(Stream.of(commander), commander.getCommands().values().stream())
			.flatMap((parser) -> parser.getParameters().stream())
			.flatMap((parameter) -> Arrays.stream(parameter.getParameter().names()))
			.collect(Collectors.toSet());
		Arrays.stream(expanded)
			.filter((argument) -> argument.startsWith("--") && !knownFlags.contains(argument))
			.findFirst()
			.ifPresent((argument) -> {
				throw new ParameterException("unknown flag " + argument);
			});
	}

	private Command findCommand(String name) {
		Command command = this.commands.get(name);
		if (command == null) {
			throw new IllegalArgumentException("unknown command " + name);
		}
		return command;
	}

	private Session createSession() {
		if (!List.of("table", "json").contains(this.flags.output)) {
			throw new IllegalArgumentException("--output \"%s\" must be table or json".formatted(this.flags.output));
		}
		Path draftPath = (this.flags.draftFile.isEmpty()) ? DraftFile.defaultPath(this.environment)
				: Path.of(this.flags.draftFile);
		return new Session(
				new OperatorClient(daemonAddresses(), operatorSecret(),
						Duration.ofSeconds(Math.max(1, this.flags.timeoutSeconds))),
				this.terminal, new DraftFile(draftPath), isJsonOutput());
	}

	private List<String> daemonAddresses() {
		List<String> addresses = (this.flags.daemonAddresses.isEmpty())
				? Arrays.asList(this.environment.getOrDefault("BRASSPIER_DAEMON", "127.0.0.1:7004").split(","))
				: this.flags.daemonAddresses;
		return addresses.stream().map(String::strip).toList();
	}

	private String operatorSecret() {
		if (this.flags.secretFile.isEmpty()) {
			return this.environment.getOrDefault("BRASSPIER_OPERATOR_SECRET", "");
		}
		try {
			return Files.readString(Path.of(this.flags.secretFile)).strip();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("the file given by --secret-file can't be read", ex);
		}
	}

	private boolean isJsonOutput() {
		return this.flags.output.equals("json");
	}

	private int printResult(Either<ErrorAnswer, Report> result) {
		boolean jsonOutput = isJsonOutput();
		if (result.isRight()) {
			Report report = result.get();
			if (jsonOutput) {
				this.terminal.out().println(OperatorJson.pretty(report.message()));
			}
			else {
				report.lines().forEach(this.terminal.out()::println);
			}
			this.terminal.out().flush();
			return 0;
		}
		ErrorAnswer error = result.getLeft();
		if (jsonOutput) {
			this.terminal.out().println(OperatorJson.pretty(error));
		}
		else {
			this.terminal.err().println("%s: %s".formatted(error.error(), error.detail()));
			DraftCommand.faultTable(error.faults()).forEach(this.terminal.err()::println);
		}
		this.terminal.out().flush();
		return error.error().exitCode();
	}

	private void printHelp(JCommander commander, String[] arguments) {
		this.terminal.out()
			.print(Arrays.stream(arguments)
				.filter(this.commands::containsKey)
				.findFirst()
				.map((command) -> HelpText.commandHelp(commander, command))
				.orElseGet(() -> HelpText.overview(commander)));
		this.terminal.out().flush();
	}

}
