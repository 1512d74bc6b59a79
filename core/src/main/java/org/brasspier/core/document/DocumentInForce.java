package org.brasspier.core.document;

/**
 * A version of the document with its contents. Immutable and thread-safe.
 *
 * @param version the version; 0 if none is known
 * @param known whether it's known which version is in force, or that none ever was
 * @param document the document
 * @param catalog the document's services
 */
public record DocumentInForce(long version, boolean known, Document document, ServiceCatalog catalog) {

	/** No document was ever in force. */
	public static final DocumentInForce NONE = new DocumentInForce(0, true, Document.EMPTY, ServiceCatalog.OPEN);

	/**
	 * A process that has just started and has heard neither from the store nor from a
	 * peer. It serves nothing: with the usual limits it would revert what the document in
	 * force says.
	 */
	public static final DocumentInForce UNKNOWN = new DocumentInForce(0, false, Document.EMPTY, ServiceCatalog.UNKNOWN);

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
		return new DocumentInForce(version, true, document, document.catalog());
	}

}
