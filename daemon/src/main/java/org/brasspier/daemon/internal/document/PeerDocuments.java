package org.brasspier.daemon.internal.document;

import io.activej.promise.Promise;
import org.brasspier.core.InstanceId;

/**
 * Fetches the document in force from other daemons. Confined to the operators thread.
 */
public interface PeerDocuments {

	/**
	 * Fetches the document that a peer has in force.
	 * @param peer the peer
	 * @return the encoded document version, or an exception
	 */
	Promise<byte[]> fetch(InstanceId peer);

}
