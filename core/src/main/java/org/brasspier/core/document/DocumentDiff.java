package org.brasspier.core.document;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The differences between two documents, field by field. Immutable and thread-safe.
 *
 * @param differences one entry for each path whose value differs, sorted by path
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
	 * @param before the older document
	 * @param after the newer document
	 * @return the differences
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
	 * A path whose value differs.
	 *
	 * @param path the path
	 * @param before the older value, if any
	 * @param after the newer value, if any
	 */
	public record Difference(FieldPath path, Optional<String> before, Optional<String> after) {

		@Override
		public String toString() {
			return "%s: %s -> %s".formatted(this.path, this.before.orElse("(none)"), this.after.orElse("(none)"));
		}

	}

}
