package org.brasspier.core.keys;

import org.brasspier.core.Fence;

/**
 * Keys that a backend server is to hold. Immutable and thread-safe.
 *
 * @param span the keys
 * @param fence the fence
 * @param handover what their previous holder handed over; empty if nothing
 */
public record KeyGrant(KeySpan span, Fence fence, String handover) {
}
