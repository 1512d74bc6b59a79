package org.brasspier.standins;

import org.brasspier.core.KeyRange;

/**
 * A range and the server that it was last granted to, according to the servers' records.
 * Immutable and thread-safe.
 *
 * @param service the service
 * @param range the range
 * @param server the server
 * @param fence the fence
 */
public record OwnedRange(String service, KeyRange range, String server, long fence) {

}
