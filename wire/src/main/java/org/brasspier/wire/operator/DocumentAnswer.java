package org.brasspier.wire.operator;

import java.util.Map;

import org.brasspier.wire.document.DocumentCodec;
import org.brasspier.wire.document.StoredDocument;

/**
 * One version of the document. Immutable and thread-safe as long as the map is not
 * modified.
 *
 * @param version the version; 0 if no document was ever in force
 * @param hash the hash under which it is stored
 * @param previousHash the hash of the previous version, empty for the first
 * @param submission the id of the submission that created it
 * @param submittedMillis when it was submitted, in milliseconds since 1970
 * @param fields the values by field path
 */
public record DocumentAnswer(long version, String hash, String previousHash, String submission, long submittedMillis,
		Map<String, String> fields) {

	/** The answer while no document was ever in force. */
	public static final DocumentAnswer NONE = new DocumentAnswer(0, "", "", "", 0, Map.of());

	/**
	 * Creates the answer for a version.
	 * @param hash the hash under which it is stored
	 * @param stored the version
	 * @return the message
	 */
	public static DocumentAnswer of(String hash, StoredDocument stored) {
		return new DocumentAnswer(stored.version(), hash, stored.previousHash(), stored.submission(),
				stored.submittedMillis(), DocumentCodec.fields(stored.document()));
	}

}
