package org.brasspier.core.request;

import org.brasspier.core.Fence;
import org.brasspier.core.RequestId;
import org.brasspier.core.ServiceName;

/**
 * A posting as the ledger of its owner knows it. Immutable and thread-safe.
 *
 * @param service its service
 * @param fence the present fence of the range its key or id is in
 * @param id its id
 * @param fingerprint a hash of its contents, see {@link CallerRequest#fingerprint()}
 */
public record Posting(ServiceName service, Fence fence, RequestId id, long fingerprint) {

}
