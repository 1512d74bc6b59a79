package org.brasspier.core.admission;

import org.brasspier.core.Failure;

/**
 * A waiting request that is refused and must be answered at once. It certainly did not
 * run. Immutable and thread-safe.
 *
 * @param id the number of the request
 * @param failure the kind of error and when to retry
 */
public record RefusedRequest(long id, Failure failure) {

}
