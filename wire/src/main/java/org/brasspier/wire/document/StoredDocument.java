package org.brasspier.wire.document;

import org.brasspier.core.document.Document;

/**
 * One version of the document as it's kept: an object that never changes. Each names the
 * one before, so that the whole history can be read. Immutable and thread-safe.
 *
 * @param version the version, at least 1
 * @param previousHash the hash of the version before, empty for the first
 * @param submission the id of the submission that brought it
 * @param submittedMillis when it was submitted, in milliseconds since 1970
 * @param document the document
 */
public record StoredDocument(long version, String previousHash, String submission, long submittedMillis,
		Document document) {

	/**
	 * Checks the version.
	 * @throws IllegalArgumentException if the version is below 1
	 */
	public StoredDocument {
		if (version < 1) {
			throw new IllegalArgumentException("version %d must be at least 1".formatted(version));
		}
	}

}
