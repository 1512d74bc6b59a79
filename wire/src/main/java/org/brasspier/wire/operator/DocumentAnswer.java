package org.brasspier.wire.operator;

import java.util.Map;

import org.brasspier.wire.document.DocumentCodec;
import org.brasspier.wire.document.StoredDocument;

/**
 * One version of the document. Immutable as long as nobody changes the map; thread-safe.
 *
 * @param version the version; 0 if none was ever in force
 * @param hash the hash that names it
 * @param previousHash the hash of the version before, empty for the first
 * @param submission the id of the submission that brought it
 * @param submittedMillis when it was submitted, in milliseconds since 1970
 * @param fields the value at each place
 */
public record DocumentAnswer(long version, String hash, String previousHash, String submission, long submittedMillis,
		Map<String, String> fields) {

	/** No document was ever in force. */
	public static final DocumentAnswer NONE = new DocumentAnswer(0, "", "", "", 0, Map.of());

	/**
	 * Renders a version.
	 * @param hash the hash that names it
	 * @param stored the version
	 * @return the message
	 */
	public static DocumentAnswer of(String hash, StoredDocument stored) {
		return new DocumentAnswer(stored.version(), hash, stored.previousHash(), stored.submission(),
				stored.submittedMillis(), DocumentCodec.fields(stored.document()));
	}

}
