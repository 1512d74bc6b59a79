package org.brasspier.daemon.internal.backend;

import org.brasspier.core.ownership.HeldRange;
import org.brasspier.core.request.CallerRequest;

/**
 * An order as it goes to the backend server. Immutable and thread-safe.
 *
 * @param callerRequest the caller's request
 * @param held the range its key or id is in, and the fence it is handed over under
 * @param deadlineAtMillis milliseconds since 1970 after which the work must not begin,
 * nor take effect
 * @param waitMillis how long the answer is waited for, in milliseconds
 */
public record BackendRequest(CallerRequest callerRequest, HeldRange held, long deadlineAtMillis, long waitMillis) {

}
