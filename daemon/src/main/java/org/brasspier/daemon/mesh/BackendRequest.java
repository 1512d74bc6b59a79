package org.brasspier.daemon.mesh;

import org.brasspier.core.ServiceName;
import org.brasspier.core.keys.BackendIncarnation;

/**
 * A request that a daemon sends to the backend server on its instance. Immutable and
 * thread-safe.
 *
 * @param request the request
 * @param caller service of the instance where the request entered the mesh
 * @param incarnation incarnation of the backend server that must run the request; any
 * other declines it
 * @param remainingMillis milliseconds after which the backend server must stop working on
 * the request
 */
public record BackendRequest(MeshRequest request, ServiceName caller, BackendIncarnation incarnation,
		int remainingMillis) {
}
