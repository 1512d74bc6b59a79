package org.brasspier.cli.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.beust.jcommander.DynamicParameter;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import org.brasspier.core.Failure;
import org.brasspier.core.document.Draft;
import org.brasspier.core.document.Field;
import org.brasspier.core.document.Form;
import org.brasspier.wire.document.DocumentCodec;
import org.brasspier.wire.operator.ErrorAnswer;
import org.jspecify.annotations.Nullable;

/**
 * Shows a form and fills it in from flags or prompts. The values are stored in the draft
 * and take effect only after {@code draft submit}.
 */
@Parameters(commandDescription = "show a form, or change its fields in the draft")
final class FormCommand implements Command {

	@Parameter(description = "service|limits SERVICE, or domains|targets|weights|secrets")
	private List<String> operands = new ArrayList<>();

	@DynamicParameter(names = "--set", description = "FIELD=VALUE; the same as --FIELD VALUE")
	private Map<String, String> valuesToSet = new LinkedHashMap<>();

	@Parameter(names = "--unset",
			description = "FIELD to remove, so that its default applies; separate several by commas")
	private List<String> fieldsToUnset = new ArrayList<>();

	@Parameter(names = "--ask", description = "prompt for each field, showing its current value")
	private boolean interactive;

	/**
	 * Rewrites field flags: {@code --FIELD VALUE} becomes {@code --set FIELD=VALUE}.
	 * @param arguments complete command line
	 * @return the command line in the form that JCommander parses
	 */
	static String[] expandFieldFlags(String[] arguments) {
		List<String> expanded = new ArrayList<>();
		for (int i = 0; i < arguments.length; i++) {
			String name = arguments[i].startsWith("--") ? arguments[i].substring(2) : "";
			boolean isField = Stream.of(Form.values()).anyMatch((form) -> form.field(name).isPresent());
			if (isField && i + 1 < arguments.length) {
				expanded.add("--set");
				expanded.add(name + "=" + arguments[++i]);
			}
			else {
				expanded.add(arguments[i]);
			}
		}
		return expanded.toArray(String[]::new);
	}

	@Override
	public Either<ErrorAnswer, Report> run(Session session) {
		Optional<Form> form = findForm();
		if (form.isEmpty()) {
			return Session.badRequest("name one of the forms " + formNames() + " (see TROUBLESHOOTING.md#bad-field)");
		}
		boolean operandCountMatches = this.operands.size() == ((form.get().hasSubject()) ? 2 : 1);
		if (!operandCountMatches) {
			return Session
				.badRequest((form.get().hasSubject()) ? "name one service: form %s SERVICE".formatted(form.get().key())
						: "form %s takes no service".formatted(form.get().key()));
		}
		String subject = (form.get().hasSubject()) ? this.operands.get(1) : "";
		return session.storedOrNewDraft()
			.flatMap((draft) -> applyFlags(draft, form.get(), subject))
			.map((draft) -> (this.interactive) ? new FormDialog(session.terminal(), form.get(), subject).fill(draft)
					: draft)
			.peek((draft) -> storeIfChanged(session, draft))
			.map((draft) -> formReport(draft, form.get(), subject));
	}

	private Optional<Form> findForm() {
		return this.operands.stream()
			.findFirst()
			.flatMap((name) -> Stream.of(Form.values()).filter((form) -> form.key().equals(name)).findFirst());
	}

	private static String formNames() {
		return Stream.of(Form.values()).map(Form::key).collect(Collectors.joining(", "));
	}

	private Either<ErrorAnswer, Draft> applyFlags(Draft draft, Form form, String subject) {
		Either<Failure, Draft> filled = Either.right(draft);
		for (Map.Entry<String, String> entry : this.valuesToSet.entrySet()) {
			filled = filled
				.flatMap((previous) -> previous.fill(form, subject, entry.getKey(), Optional.of(entry.getValue())));
		}
		for (String field : this.fieldsToUnset) {
			filled = filled.flatMap((previous) -> previous.fill(form, subject, field, Optional.empty()));
		}
		return filled.mapLeft(ErrorAnswer::of);
	}

	private void storeIfChanged(Session session, Draft draft) {
		boolean changed = !this.valuesToSet.isEmpty() || !this.fieldsToUnset.isEmpty() || this.interactive;
		if (changed) {
			session.draftFile().write(draft);
		}
	}

	private static Report formReport(Draft draft, Form form, String subject) {
		Table table = new Table("FIELD", "VALUE", "UNIT", "ALLOWED", "MEANING");
		List<FieldValue> fieldValues = new ArrayList<>();
		for (Field field : form.fields()) {
			@Nullable String value = draft.document().value(form.path(subject, field.name())).orElse(null);
			table.addRow(field.name(), (value != null) ? value : "(%s)".formatted(field.defaultValue()), field.unit(),
					field.rule().description(), field.meaning());
			fieldValues.add(new FieldValue(form.path(subject, field.name()).text(), value, field.defaultValue(),
					field.unit(), field.rule().description()));
		}
		List<String> lines = new ArrayList<>(table.lines());
		lines.add("");
		lines.add("A value in parentheses is the default, which applies while the document sets none.");
		lines.add("%d changes in the draft based on version %d; `brasspier draft submit` puts them into force."
			.formatted(draft.changes().size(), draft.baseVersion()));
		return new Report(new FormMessage(form.name().toLowerCase(Locale.ROOT), subject, fieldValues,
				DocumentCodec.fields(draft.document())), lines);
	}

	/**
	 * JSON output: a form.
	 *
	 * @param form name of the form
	 * @param subject service that the form is for, empty if the form has none
	 * @param fields fields of the form
	 * @param document all fields of the document with the draft applied
	 */
	private record FormMessage(String form, String subject, List<FieldValue> fields, Map<String, String> document) {

	}

	/**
	 * JSON output: a field of a form.
	 *
	 * @param path path of the field in the document
	 * @param value value of the field, absent if the default applies
	 * @param usual default value
	 * @param unit unit of the value
	 * @param allowed description of the allowed values
	 */
	private record FieldValue(String path, @Nullable String value, String usual, String unit, String allowed) {

	}

}
