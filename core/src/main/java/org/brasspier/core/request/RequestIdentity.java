package org.brasspier.core.request;

import java.util.Optional;

import org.brasspier.core.RequestId;

/**
 * Distinguishes one request from another. Immutable and thread-safe.
 *
 * @param id the id, the same for each retry
 * @param generated whether the entry daemon generated the id, so that a retry of the
 * caller has another one
 * @param firstAttempt whether the caller states that no earlier attempt can have run
 * @param ticket the ticket that binds a posting to the owner that may run it
 */
public record RequestIdentity(RequestId id, boolean generated, boolean firstAttempt, Optional<String> ticket) {

}
