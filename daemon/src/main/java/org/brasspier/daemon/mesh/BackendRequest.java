package org.brasspier.daemon.mesh;

import org.brasspier.core.ServiceName;
import org.brasspier.core.keys.BackendIncarnation;

/**
 * A request to be run by a backend server. Immutable and thread-safe.
 *
 * @param request the request
 * @param caller the service of the instance where the request began
 * @param incarnation the life of the backend server that is to run it; any other declines
 * @param remainingMillis after how long the backend server is to stop
 */
public record BackendRequest(MeshRequest request, ServiceName caller, BackendIncarnation incarnation,
		int remainingMillis) {
}
