package org.brasspier.core.document;

import java.util.List;
import java.util.regex.Pattern;

/**
 * The path of a value in the document, {@code FORM/FIELD} or {@code FORM/SUBJECT/FIELD}.
 * Immutable and thread-safe.
 *
 * @param text the parts, joined by slashes
 */
public record FieldPath(String text) implements Comparable<FieldPath> {

	private static final Pattern VALID = Pattern.compile("[a-z-]{1,32}(/[A-Za-z0-9._-]{1,64}){1,2}");

	/**
	 * Validates the text.
	 * @throws IllegalArgumentException if the text is not a valid path
	 */
	public FieldPath {
		if (!VALID.matcher(text).matches()) {
			throw new IllegalArgumentException(
					"place \"%s\" must read FORM/FIELD or FORM/SUBJECT/FIELD (see TROUBLESHOOTING.md#bad-field)"
						.formatted(text));
		}
	}

	/**
	 * Returns the parts of the path.
	 * @return two or three parts
	 */
	public List<String> parts() {
		return List.of(this.text.split("/"));
	}

	@Override
	public int compareTo(FieldPath other) {
		return this.text.compareTo(other.text);
	}

	@Override
	public String toString() {
		return this.text;
	}

}
