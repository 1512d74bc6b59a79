package org.brasspier.daemon.internal.document;

import io.activej.promise.Promise;
import org.brasspier.core.InstanceId;

/**
 * Fetches the document in force from other daemons. Belongs to the thread of operators.
 */
public interface PeerDocuments {

	/**
	 * Fetches what a peer has in force.
	 * @param peer the peer
	 * @return the version as it's kept, or an exception
	 */
	Promise<byte[]> fetch(InstanceId peer);

}
