package org.brasspier.core.document;

import java.util.Optional;

/**
 * What a form changes at one place. Immutable and thread-safe.
 *
 * @param path the place
 * @param value the new value; empty to take the value out
 */
public record FieldChange(FieldPath path, Optional<String> value) {

}
