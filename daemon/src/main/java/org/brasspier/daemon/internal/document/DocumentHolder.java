package org.brasspier.daemon.internal.document;

import java.util.Optional;

import org.brasspier.core.document.DocumentInForce;
import org.brasspier.core.document.ServiceCatalog;
import org.brasspier.core.event.EventKind;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.wire.document.DocumentCodec;
import org.brasspier.wire.document.StoredDocument;

/**
 * Holds the document version in force in this process. The version number only increases:
 * older versions that arrive late are ignored. Thread-safe.
 */
public final class DocumentHolder {

	private final EventLog events;

	private volatile DocumentInForce inForce = DocumentInForce.UNKNOWN;

	private volatile Optional<DocumentVersion> storedVersion = Optional.empty();

	/**
	 * Creates a holder that doesn't know yet which version is in force.
	 * @param events the event log
	 */
	public DocumentHolder(EventLog events) {
		this.events = events;
	}

	/**
	 * Puts a version into force in this process if it is newer than the present one.
	 * @param bytes the encoded version
	 * @param stored the decoded version
	 * @return whether the version was put into force
	 */
	public synchronized boolean applyIfNewer(byte[] bytes, StoredDocument stored) {
		if (stored.version() <= this.inForce.version()) {
			// A late answer of a peer or of the store must not revert the configuration.
			return false;
		}
		this.storedVersion = Optional.of(new DocumentVersion(DocumentCodec.hash(bytes), bytes.clone(), stored));
		this.inForce = DocumentInForce.of(stored.version(), stored.document());
		this.events.record(EventKind.DOCUMENT_IN_FORCE, "version " + stored.version(), this.storedVersion.get().hash());
		return true;
	}

	/**
	 * Handles the store's answer that no version was ever in force.
	 */
	public synchronized void onStoreEmpty() {
		if (!this.inForce.known()) {
			this.inForce = DocumentInForce.NONE;
		}
	}

	/**
	 * Returns the version in force in this process.
	 * @return the version in force, or that none is known or exists
	 */
	public DocumentInForce inForce() {
		return this.inForce;
	}

	/**
	 * Returns the services of the document in force.
	 * @return the catalog of services
	 */
	public ServiceCatalog catalog() {
		return this.inForce.catalog();
	}

	/**
	 * Returns the version in force with its encoded form.
	 * @return the version, empty if none is known
	 */
	public Optional<DocumentVersion> storedVersion() {
		return this.storedVersion;
	}

	/**
	 * A document version with its encoded form. Immutable as long as the array isn't
	 * modified.
	 *
	 * @param hash the hash of the encoded version, which is its name in the object store
	 * @param bytes the encoded version
	 * @param stored the decoded version
	 */
	public record DocumentVersion(String hash, byte[] bytes, StoredDocument stored) {

	}

}
