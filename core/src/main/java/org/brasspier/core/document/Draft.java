package org.brasspier.core.document;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;

import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;

/**
 * What an operator's forms have changed since a version of the document. It's submitted
 * on the condition that this version is still in force, so of two operators who began
 * from the same version one wins and the other is told. Immutable and thread-safe.
 *
 * @param baseVersion the version that the draft began from; 0 if none was in force
 * @param base the document of that version
 * @param changes the changes, at most one for each place
 */
public record Draft(long baseVersion, Document base, List<FieldChange> changes) {

	/**
	 * Copies the list.
	 */
	public Draft {
		changes = List.copyOf(changes);
	}

	/**
	 * Begins a draft.
	 * @param version the version in force
	 * @param document its document
	 * @return a draft without changes
	 */
	public static Draft from(long version, Document document) {
		return new Draft(version, document, List.of());
	}

	/**
	 * Fills in one field, checked as it's entered.
	 * @param form the form
	 * @param subject the service's name, or empty for a form without subject
	 * @param fieldName the field
	 * @param value the value; empty to take it out
	 * @return the draft with the change, or why the field doesn't allow it
	 */
	public Either<Failure, Draft> fill(Form form, String subject, String fieldName, Optional<String> value) {
		Optional<Field> field = form.field(fieldName);
		if (field.isEmpty()) {
			return refused("form %s has no field \"%s\"".formatted(form.key(), fieldName));
		}
		if (form.hasSubject() && !ValueRule.Text.isName(subject)) {
			return refused("\"%s\" is no service's name".formatted(subject));
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
	 * The document as it would be after submission.
	 * @return the base with all changes
	 */
	public Document document() {
		Document document = this.base;
		for (FieldChange change : this.changes) {
			document = document.with(change);
		}
		return document;
	}

	/**
	 * Moves the draft's changes onto a newer version. Where both changed a place, the
	 * draft's value stays, and the place is listed for the operator to decide.
	 * @param version the newer version
	 * @param newer its document
	 * @return the moved draft and the places that both changed to different values
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
	 * A draft on a newer version.
	 *
	 * @param draft the draft
	 * @param overlaps what both changed: the newer version's value and the draft's
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
