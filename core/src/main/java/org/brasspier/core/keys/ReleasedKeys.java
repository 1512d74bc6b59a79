package org.brasspier.core.keys;

/**
 * Keys that a backend server has released. Immutable and thread-safe.
 *
 * @param span the keys
 * @param handover what it hands over to the next holder
 */
public record ReleasedKeys(KeySpan span, String handover) {
}
