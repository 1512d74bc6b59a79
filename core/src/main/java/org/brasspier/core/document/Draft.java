package org.brasspier.core.document;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;

import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;

/**
 * Changes that an operator has made to a version of the document and not yet submitted.
 * The submission is accepted only if this version is still in force. If two operators
 * start from the same version, the first submission is accepted and the second one fails
 * with a conflict. Immutable and thread-safe.
 *
 * @param baseVersion the version that the draft is based on; 0 if none was in force
 * @param base the document of that version
 * @param changes the changes, at most one for each path
 */
public record Draft(long baseVersion, Document base, List<FieldChange> changes) {

	/**
	 * Copies the list.
	 */
	public Draft {
		changes = List.copyOf(changes);
	}

	/**
	 * Creates a draft without changes.
	 * @param version the version in force
	 * @param document its document
	 * @return the draft
	 */
	public static Draft from(long version, Document document) {
		return new Draft(version, document, List.of());
	}

	/**
	 * Sets or removes the value of one field, after validating it.
	 * @param form the form
	 * @param subject the service's name, or empty for a form without subject
	 * @param fieldName the field
	 * @param value the value; empty to remove it
	 * @return the draft with the change, or the reason why the value is not allowed
	 */
	public Either<Failure, Draft> fill(Form form, String subject, String fieldName, Optional<String> value) {
		Optional<Field> field = form.field(fieldName);
		if (field.isEmpty()) {
			return refused("form %s has no field \"%s\"".formatted(form.key(), fieldName));
		}
		if (form.hasSubject() && !ValueRule.Text.isName(subject)) {
			return refused("\"%s\" is not a valid service name".formatted(subject));
		}
		if (value.isPresent() && !field.get().rule().allows(value.get())) {
			return refused("%s \"%s\" must be %s".formatted(fieldName, value.get(), field.get().rule().description()));
		}
		return Either.right(with(new FieldChange(form.path(subject, fieldName), value)));
	}

	private static Either<Failure, Draft> refused(String detail) {
		return Either.left(Failure.of(ErrorKind.BAD_REQUEST, detail + " (see TROUBLESHOOTING.md#bad-field)"));
	}

	private Draft with(FieldChange change) {
		Predicate<FieldChange> samePlace = (other) -> other.path().equals(change.path());
		boolean asBase = this.base.value(change.path()).equals(change.value());
		Stream<FieldChange> others = this.changes.stream().filter(samePlace.negate());
		return new Draft(this.baseVersion, this.base,
				Stream.concat(others, (asBase) ? Stream.empty() : Stream.of(change)).toList());
	}

	/**
	 * Returns the document that a submission would produce.
	 * @return the base with all changes applied
	 */
	public Document document() {
		Document document = this.base;
		for (FieldChange change : this.changes) {
			document = document.with(change);
		}
		return document;
	}

	/**
	 * Rebases the draft onto a newer version. Where both changed the value at a path, the
	 * draft keeps its own value, and the path is listed for the operator to decide.
	 * @param version the newer version
	 * @param newer its document
	 * @return the rebased draft and the paths that both changed to different values
	 */
	public Rebased rebase(long version, Document newer) {
		List<DocumentDiff.Difference> theirs = DocumentDiff.between(this.base, newer).differences();
		List<DocumentDiff.Difference> both = theirs.stream()
			.filter((difference) -> this.changes.stream()
				.anyMatch((change) -> change.path().equals(difference.path())
						&& !change.value().equals(difference.after())))
			.map((difference) -> new DocumentDiff.Difference(difference.path(), difference.after(),
					document().value(difference.path())))
			.toList();
		Draft moved = from(version, newer);
		for (FieldChange change : this.changes) {
			moved = moved.with(change);
		}
		return new Rebased(moved, both);
	}

	/**
	 * A draft that was rebased onto a newer version.
	 *
	 * @param draft the draft
	 * @param overlaps the paths that both changed, with the value of the newer version
	 * and that of the draft
	 */
	public record Rebased(Draft draft, List<DocumentDiff.Difference> overlaps) {

		/**
		 * Copies the list.
		 */
		public Rebased {
			overlaps = List.copyOf(overlaps);
		}

	}

}
