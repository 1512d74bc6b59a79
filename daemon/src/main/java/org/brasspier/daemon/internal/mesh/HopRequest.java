package org.brasspier.daemon.internal.mesh;

import org.brasspier.core.RequestClass;
import org.brasspier.core.ServiceName;
import org.brasspier.daemon.mesh.MeshRequest;

/**
 * A request for a backend server of a service. Immutable and thread-safe.
 *
 * @param service the service
 * @param caller the service of the instance where the request began
 * @param requestClass how it is queued
 * @param idempotent whether it may run more than once
 * @param overdue whether it can't be answered within its target any more
 * @param mayQueue whether it may wait for a slot; else it is turned away if none is free
 * @param request the request, with the time that is left
 */
record HopRequest(ServiceName service, ServiceName caller, RequestClass requestClass, boolean idempotent,
		boolean overdue, boolean mayQueue, MeshRequest request) {

	HopRequest withRemainingMillis(int millis) {
		return new HopRequest(this.service, this.caller, this.requestClass, this.idempotent, this.overdue,
				this.mayQueue, this.request.withRemainingMillis(millis));
	}

}
