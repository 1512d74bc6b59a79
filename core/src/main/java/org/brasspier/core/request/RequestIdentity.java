package org.brasspier.core.request;

import java.util.Optional;

import org.brasspier.core.RequestId;

/**
 * What tells one request from another. Immutable and thread-safe.
 *
 * @param id the id, the same on each resend
 * @param generated whether the entry daemon made the id up, so that no resend repeats it
 * @param firstAttempt whether the caller says that no earlier send can have run
 * @param ticket the ticket that binds a posting to the owner that may run it
 */
public record RequestIdentity(RequestId id, boolean generated, boolean firstAttempt, Optional<String> ticket) {

}
