package org.brasspier.core.document;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * What differs between two documents, field by field. Immutable and thread-safe.
 *
 * @param differences one for each place whose value differs, in the order of places
 */
public record DocumentDiff(List<Difference> differences) {

	/**
	 * Copies the list.
	 */
	public DocumentDiff {
		differences = List.copyOf(differences);
	}

	/**
	 * Compares two documents.
	 * @param before the older one
	 * @param after the newer one
	 * @return what differs
	 */
	public static DocumentDiff between(Document before, Document after) {
		return new DocumentDiff(Stream.concat(before.values().keySet().stream(), after.values().keySet().stream())
			.distinct()
			.sorted()
			.map((path) -> new Difference(path, before.value(path), after.value(path)))
			.filter((difference) -> !difference.before().equals(difference.after()))
			.toList());
	}

	/**
	 * One place whose value differs.
	 *
	 * @param path the place
	 * @param before the older value, if there was one
	 * @param after the newer value, if there is one
	 */
	public record Difference(FieldPath path, Optional<String> before, Optional<String> after) {

		@Override
		public String toString() {
			return "%s: %s -> %s".formatted(this.path, this.before.orElse("(none)"), this.after.orElse("(none)"));
		}

	}

}
