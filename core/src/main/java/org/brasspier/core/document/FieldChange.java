package org.brasspier.core.document;

import java.util.Optional;

/**
 * A change of one value of the document. Immutable and thread-safe.
 *
 * @param path the path of the value
 * @param value the new value; empty to remove the value
 */
public record FieldChange(FieldPath path, Optional<String> value) {

}
