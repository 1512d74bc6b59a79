package org.brasspier.daemon.internal.mesh;

import org.brasspier.core.crash.RequestFingerprint;
import org.brasspier.core.keys.BackendIncarnation;

/**
 * A request that was sent to the local backend server. Immutable and thread-safe. Times
 * are nanoseconds of the steady clock.
 *
 * @param request the request
 * @param incarnation the server's incarnation
 * @param connectionOpenedNanos when the connection was opened
 * @param sentNanos when the request was sent
 */
record SentRequest(HopRequest request, BackendIncarnation incarnation, long connectionOpenedNanos, long sentNanos) {

	String id() {
		return this.request.request().id();
	}

	RequestFingerprint fingerprint() {
		return this.request.fingerprint();
	}

}
