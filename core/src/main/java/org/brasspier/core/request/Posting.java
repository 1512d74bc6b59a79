package org.brasspier.core.request;

import org.brasspier.core.Fence;
import org.brasspier.core.RequestId;
import org.brasspier.core.ServiceName;

/**
 * A posting, which is a request that must not run twice, as the ledger of its owner
 * identifies it. Immutable and thread-safe.
 *
 * @param service its service
 * @param fence the current fence of the range that contains its key or id
 * @param id its id
 * @param fingerprint a hash of its contents, see {@link CallerRequest#fingerprint()}
 */
public record Posting(ServiceName service, Fence fence, RequestId id, long fingerprint) {

}
