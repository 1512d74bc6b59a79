package org.brasspier.daemon.internal.backend;

import org.brasspier.core.ownership.HeldRange;
import org.brasspier.core.request.CallerRequest;

/**
 * A request to the backend server with its fence and deadlines. Immutable and
 * thread-safe.
 *
 * @param callerRequest the caller's request
 * @param held the range that contains its key or id, and the fence it is sent with
 * @param deadlineAtMillis time in milliseconds since 1970 after which the work must not
 * begin, nor take effect
 * @param waitMillis maximum time to wait for the answer, in milliseconds
 */
public record BackendRequest(CallerRequest callerRequest, HeldRange held, long deadlineAtMillis, long waitMillis) {

}
