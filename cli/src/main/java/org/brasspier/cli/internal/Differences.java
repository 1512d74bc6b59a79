package org.brasspier.cli.internal;

import java.util.List;

import org.brasspier.core.document.DocumentDiff;
import org.jspecify.annotations.Nullable;

/**
 * Differences of documents for programs. Stateless and thread-safe.
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
	 * One place whose value differs.
	 *
	 * @param path the place
	 * @param before the older value, absent if there was none
	 * @param after the newer value, absent if there is none
	 */
	record Entry(String path, @Nullable String before, @Nullable String after) {

	}

}
