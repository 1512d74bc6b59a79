package org.brasspier.core.document;

/**
 * A version of the document with its contents. Immutable and thread-safe.
 *
 * @param version the version; 0 if none has ever come into force
 * @param document the document
 * @param catalog the document's services
 */
public record DocumentInForce(long version, Document document, ServiceCatalog catalog) {

	/** Before any document is in force. */
	public static final DocumentInForce NONE = new DocumentInForce(0, Document.EMPTY, ServiceCatalog.OPEN);

	/**
	 * A version with its contents.
	 * @param version the version, at least 1
	 * @param document the document
	 * @return the pair
	 */
	public static DocumentInForce of(long version, Document document) {
		if (version < 1) {
			throw new IllegalArgumentException("version %d must be at least 1".formatted(version));
		}
		return new DocumentInForce(version, document, document.catalog());
	}

}
