package org.brasspier.daemon.internal.mesh;

import org.brasspier.core.RequestClass;
import org.brasspier.core.ServiceName;
import org.brasspier.core.crash.RequestFingerprint;
import org.brasspier.core.returns.RequestOrigin;
import org.brasspier.daemon.mesh.MeshRequest;

/**
 * A request to a backend server of a service. Immutable and thread-safe.
 *
 * @param service the service
 * @param caller the service of the instance on which the request was sent
 * @param requestClass the class by which it is queued
 * @param idempotent whether it may run more than once
 * @param overdue whether it can no longer be answered within its target latency
 * @param mayQueue whether it may be queued for a slot; otherwise it is rejected if none
 * is free
 * @param request the request, with its remaining time
 * @param route name of its route; empty if it was sent by a daemon of an earlier build
 * @param origin whether it is a return, and on which instance it began
 */
record HopRequest(ServiceName service, ServiceName caller, RequestClass requestClass, boolean idempotent,
		boolean overdue, boolean mayQueue, MeshRequest request, String route, RequestOrigin origin) {

	HopRequest(ServiceName service, ServiceName caller, RequestClass requestClass, boolean idempotent, boolean overdue,
			boolean mayQueue, MeshRequest request, String route) {
		this(service, caller, requestClass, idempotent, overdue, mayQueue, request, route, RequestOrigin.UNKNOWN);
	}

	HopRequest(ServiceName service, ServiceName caller, RequestClass requestClass, boolean idempotent, boolean overdue,
			boolean mayQueue, MeshRequest request) {
		this(service, caller, requestClass, idempotent, overdue, mayQueue, request, "");
	}

	RequestFingerprint fingerprint() {
		return this.request.fingerprint(this.caller);
	}

	HopRequest withRequestClass(RequestClass newClass) {
		return new HopRequest(this.service, this.caller, newClass, this.idempotent, this.overdue, this.mayQueue,
				this.request, this.route, this.origin);
	}

	HopRequest withRemainingMillis(int millis) {
		return new HopRequest(this.service, this.caller, this.requestClass, this.idempotent, this.overdue,
				this.mayQueue, this.request.withRemainingMillis(millis), this.route, this.origin);
	}

}
