package org.brasspier.core.document;

/**
 * The version of the document that is in force, with its contents. Immutable and
 * thread-safe.
 *
 * @param version the version; 0 if none is known or none was ever in force
 * @param known whether it is known which version is in force, or that none ever was
 * @param document the document
 * @param catalog the settings of the document's services
 */
public record DocumentInForce(long version, boolean known, Document document, ServiceCatalog catalog) {

	/** Known: no document was ever in force. */
	public static final DocumentInForce NONE = new DocumentInForce(0, true, Document.EMPTY, ServiceCatalog.OPEN);

	/**
	 * The state of a process that has just started and has received the document neither
	 * from the store nor from a peer. It serves no requests: serving with the default
	 * limits would revert the settings of the document in force.
	 */
	public static final DocumentInForce UNKNOWN = new DocumentInForce(0, false, Document.EMPTY, ServiceCatalog.UNKNOWN);

	/**
	 * Creates the record of a known version.
	 * @param version the version, at least 1
	 * @param document the document
	 * @return the version with its contents
	 * @throws IllegalArgumentException if the version is less than 1
	 */
	public static DocumentInForce of(long version, Document document) {
		if (version < 1) {
			throw new IllegalArgumentException("version %d must be at least 1".formatted(version));
		}
		return new DocumentInForce(version, true, document, document.catalog());
	}

}
