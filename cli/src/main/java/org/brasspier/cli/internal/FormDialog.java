package org.brasspier.cli.internal;

import java.util.Optional;

import io.vavr.control.Either;
import org.brasspier.core.Failure;
import org.brasspier.core.document.Draft;
import org.brasspier.core.document.Field;
import org.brasspier.core.document.Form;
import org.jspecify.annotations.Nullable;

/**
 * Prompts for each field of a form and repeats the prompt after an invalid value. Not
 * thread-safe.
 */
final class FormDialog {

	private static final String UNSET_INPUT = "-";

	private final Terminal terminal;

	private final Form form;

	private final String subject;

	FormDialog(Terminal terminal, Form form, String subject) {
		this.terminal = terminal;
		this.form = form;
		this.subject = subject;
	}

	Draft fill(Draft draft) {
		this.terminal
			.printProgress("Press Enter to keep a value, or type - to remove it, so that the default applies.");
		Draft filled = draft;
		for (Field field : this.form.fields()) {
			filled = promptForField(filled, field);
		}
		return filled;
	}

	private Draft promptForField(Draft draft, Field field) {
		String currentValue = draft.document()
			.value(this.form.path(this.subject, field.name()))
			.orElseGet(() -> "(" + field.defaultValue() + ")");
		String unit = (field.unit().isEmpty()) ? "" : " in " + field.unit();
		this.terminal.printProgress("");
		this.terminal.printProgress("%s: %s".formatted(field.name(), field.meaning()));
		while (true) {
			@Nullable String input = this.terminal
				.prompt("  %s%s [%s]: ".formatted(field.rule().description(), unit, currentValue));
			if (input == null || input.isEmpty()) {
				return draft;
			}
			Either<Failure, Draft> filled = draft.fill(this.form, this.subject, field.name(),
					Optional.of(input).filter((value) -> !value.equals(UNSET_INPUT)));
			if (filled.isRight()) {
				return filled.get();
			}
			this.terminal.printProgress("  " + filled.getLeft().detail());
		}
	}

}
