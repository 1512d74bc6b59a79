package org.brasspier.core.keys;

import org.brasspier.core.Fence;

/**
 * Keys that a backend server reports as held or still in use by running requests.
 * Immutable and thread-safe.
 *
 * @param span the keys
 * @param fence the fence under which it holds them
 */
public record HeldKeys(KeySpan span, Fence fence) {
}
