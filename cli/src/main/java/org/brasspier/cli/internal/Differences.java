package org.brasspier.cli.internal;

import java.util.List;

import org.brasspier.core.document.DocumentDiff;
import org.jspecify.annotations.Nullable;

/**
 * Converts differences between documents to JSON output. Stateless and thread-safe.
 */
final class Differences {

	private Differences() {
	}

	static List<Entry> of(DocumentDiff diff) {
		return diff.differences()
			.stream()
			.map((difference) -> new Entry(difference.path().text(), difference.before().orElse(null),
					difference.after().orElse(null)))
			.toList();
	}

	/**
	 * A field whose value differs.
	 *
	 * @param path path of the field
	 * @param before older value, absent if the field was not set
	 * @param after newer value, absent if the field is not set
	 */
	record Entry(String path, @Nullable String before, @Nullable String after) {

	}

}
