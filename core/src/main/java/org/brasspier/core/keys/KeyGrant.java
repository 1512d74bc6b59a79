package org.brasspier.core.keys;

import org.brasspier.core.Fence;

/**
 * Grant of a span of keys to a backend server. Immutable and thread-safe.
 *
 * @param span the keys
 * @param fence the fence under which the server holds them
 * @param handover token from the previous holder; empty if there is none
 */
public record KeyGrant(KeySpan span, Fence fence, String handover) {
}
