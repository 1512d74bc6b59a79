package org.brasspier.core.keys;

import org.brasspier.core.InstanceId;

/**
 * A backend server that can hold keys now. Immutable and thread-safe.
 *
 * @param instance its instance
 * @param life its life
 */
public record KeyHolder(InstanceId instance, BackendLife life) {
}
