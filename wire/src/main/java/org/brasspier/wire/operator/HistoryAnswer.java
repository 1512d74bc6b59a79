package org.brasspier.wire.operator;

import java.util.List;

/**
 * Versions of the document, newest first. Immutable and thread-safe.
 *
 * @param versions the versions
 */
public record HistoryAnswer(List<DocumentAnswer> versions) {

	/**
	 * Checks and copies.
	 */
	public HistoryAnswer {
		versions = List.copyOf(OperatorJson.present(versions, "versions"));
	}

}
