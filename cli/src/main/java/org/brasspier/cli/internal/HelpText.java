package org.brasspier.cli.internal;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterDescription;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.document.Field;
import org.brasspier.core.document.Form;

/**
 * Help texts of the tool: a one-screen overview and a page for each command. Stateless
 * and thread-safe.
 */
final class HelpText {

	/**
	 * Error kinds that an operator can receive. The others are returned only to callers.
	 */
	private static final List<ErrorKind> OPERATOR_ERROR_KINDS = List.of(ErrorKind.INTERNAL_ERROR, ErrorKind.BAD_REQUEST,
			ErrorKind.UNAUTHORIZED, ErrorKind.DOCUMENT_INVALID, ErrorKind.DOCUMENT_CONFLICT,
			ErrorKind.STORE_OUTCOME_UNKNOWN, ErrorKind.STORE_UNAVAILABLE, ErrorKind.STATE_UNREADABLE,
			ErrorKind.ORDER_REFUSED, ErrorKind.DAEMON_UNREACHABLE);

	private HelpText() {
	}

	static String overview(JCommander commander) {
		StringBuilder text = new StringBuilder("Usage: brasspier [FLAGS] COMMAND [OPERANDS AND FLAGS]\n\nCommands:\n");
		commander.getCommands()
			.forEach((name, command) -> text
				.append("  %-14s%s%n".formatted(name, commander.getUsageFormatter().getCommandDescription(name))));
		text.append("\n`brasspier COMMAND --help` shows the help of a command.\n\nFlags, before the command:\n");
		// JCommander loads the descriptions of flags only when it formats its own usage
		// text.
		commander.getUsageFormatter().usage(new StringBuilder());
		appendFlags(text, commander);
		text.append("\nExample of a first session:\n")
			.append("  export BRASSPIER_DAEMON=127.0.0.1:7004 BRASSPIER_OPERATOR_SECRET=...\n")
			.append("  brasspier status\n")
			.append("  brasspier form service hullbook --divided-by-key yes\n")
			.append("  brasspier form domains --regions duluth=great-lakes,milwaukee=great-lakes\n")
			.append("  brasspier draft check && brasspier draft submit\n")
			.append("\nExit codes: 0 on success, otherwise that of the error:\n");
		exitCodes().forEach((code, kinds) -> text.append("  %2d  %s%n".formatted(code, String.join(", ", kinds))));
		return text.toString();
	}

	private static Map<Integer, List<String>> exitCodes() {
		return OPERATOR_ERROR_KINDS.stream()
			.collect(Collectors.groupingBy(ErrorKind::exitCode, TreeMap::new,
					Collectors.mapping(ErrorKind::name, Collectors.toList())));
	}

	static String commandHelp(JCommander commander, String name) {
		JCommander command = Optional.ofNullable(commander.getCommands().get(name)).orElseThrow();
		String operands = (command.getMainParameter() != null) ? " " + command.getMainParameterDescription() : "";
		StringBuilder text = new StringBuilder("%s%n%nUsage: brasspier %s%s%n"
			.formatted(commander.getUsageFormatter().getCommandDescription(name), name, operands));
		if (!command.getParameters().isEmpty()) {
			text.append("\nFlags:\n");
			appendFlags(text, command);
		}
		if (name.equals("form")) {
			Arrays.stream(Form.values()).forEach((form) -> appendForm(text, form));
		}
		return text.toString();
	}

	private static void appendFlags(StringBuilder text, JCommander command) {
		command.getParameters()
			.stream()
			.sorted((first, second) -> first.getNames().compareTo(second.getNames()))
			.forEach((flag) -> text
				.append("  %s%n      %s%s%n".formatted(flag.getNames(), flag.getDescription(), defaultSuffix(flag))));
	}

	private static String defaultSuffix(ParameterDescription flag) {
		String defaultValue = String.valueOf(flag.getDefault());
		boolean isShown = !Stream.of("", "false", "null", "[]", "{}", "0").anyMatch(defaultValue::equals);
		return (isShown) ? " (default: %s)".formatted(defaultValue) : "";
	}

	private static void appendForm(StringBuilder text, Form form) {
		text.append("%nbrasspier form %s%s%n".formatted(form.key(), (form.hasSubject()) ? " SERVICE" : ""));
		form.fields().forEach((field) -> appendField(text, field));
	}

	private static void appendField(StringBuilder text, Field field) {
		String unit = (field.unit().isEmpty()) ? "" : " in " + field.unit();
		String defaultValue = (field.defaultValue().isEmpty()) ? "" : ", default: " + field.defaultValue();
		text.append("  --%s%n      %s%n      %s%s%s%n".formatted(field.name(), field.meaning(),
				field.rule().description(), unit, defaultValue));
	}

}
