package org.brasspier.core.keys;

import org.brasspier.core.Fence;

/**
 * Keys that a backend server says it holds or is still working on. Immutable and
 * thread-safe.
 *
 * @param span the keys
 * @param fence the fence under which it has them
 */
public record HeldKeys(KeySpan span, Fence fence) {
}
