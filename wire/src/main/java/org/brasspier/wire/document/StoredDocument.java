package org.brasspier.wire.document;

import org.brasspier.core.document.Document;

/**
 * One version of the document as stored in an immutable object. Each version holds the
 * hash of the previous one, so that the whole history can be read. Immutable and
 * thread-safe.
 *
 * @param version the version, at least 1
 * @param previousHash the hash of the previous version, empty for the first
 * @param submission the id of the submission that created it
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
