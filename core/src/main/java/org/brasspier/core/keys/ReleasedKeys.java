package org.brasspier.core.keys;

/**
 * Keys that a backend server has released. Immutable and thread-safe.
 *
 * @param span the keys
 * @param handover the state token for the next holder; empty if there is none
 */
public record ReleasedKeys(KeySpan span, String handover) {
}
