package org.brasspier.daemon.internal.document;

import java.util.Optional;

import org.brasspier.core.document.DocumentInForce;
import org.brasspier.core.document.ServiceCatalog;
import org.brasspier.core.event.EventKind;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.wire.document.DocumentCodec;
import org.brasspier.wire.document.StoredDocument;

/**
 * The version of the document in force in this process. It only ever goes up, whoever
 * brings an older one late. Thread-safe.
 */
public final class DocumentHolder {

	private final EventLog events;

	private volatile DocumentInForce inForce = DocumentInForce.UNKNOWN;

	private volatile Optional<DocumentVersion> storedVersion = Optional.empty();

	/**
	 * Creates a holder that doesn't know yet which version is in force.
	 * @param events the time line
	 */
	public DocumentHolder(EventLog events) {
		this.events = events;
	}

	/**
	 * Brings a version into force in this process, unless it's not newer than the one
	 * that is.
	 * @param bytes the version as it's kept
	 * @param stored the same version, decoded
	 * @return whether it came into force
	 */
	public synchronized boolean applyIfNewer(byte[] bytes, StoredDocument stored) {
		if (stored.version() <= this.inForce.version()) {
			// Late answers of a peer or the store: a configuration never reverts.
			return false;
		}
		this.storedVersion = Optional.of(new DocumentVersion(DocumentCodec.hash(bytes), bytes.clone(), stored));
		this.inForce = DocumentInForce.of(stored.version(), stored.document());
		this.events.record(EventKind.DOCUMENT_IN_FORCE, "version " + stored.version(), this.storedVersion.get().hash());
		return true;
	}

	/**
	 * The store has answered that no version was ever in force.
	 */
	public synchronized void onStoreEmpty() {
		if (!this.inForce.known()) {
			this.inForce = DocumentInForce.NONE;
		}
	}

	/**
	 * What is in force in this process.
	 * @return the latest version
	 */
	public DocumentInForce inForce() {
		return this.inForce;
	}

	/**
	 * The services of the document in force.
	 * @return the catalog
	 */
	public ServiceCatalog catalog() {
		return this.inForce.catalog();
	}

	/**
	 * The version in force as it's kept.
	 * @return empty if none is known
	 */
	public Optional<DocumentVersion> storedVersion() {
		return this.storedVersion;
	}

	/**
	 * A version as it's kept. Immutable as long as nobody writes to the bytes.
	 *
	 * @param hash the hash that names it
	 * @param bytes the version as it's kept
	 * @param stored the same, decoded
	 */
	public record DocumentVersion(String hash, byte[] bytes, StoredDocument stored) {

	}

}
