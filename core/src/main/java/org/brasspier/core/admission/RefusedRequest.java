package org.brasspier.core.admission;

import org.brasspier.core.Failure;

/**
 * A waiting request that is given up and must get its answer at once. It certainly did
 * not run. Immutable and thread-safe.
 *
 * @param id the number of the request
 * @param failure the kind of error and when to try again
 */
public record RefusedRequest(long id, Failure failure) {

}
