package org.brasspier.core.document;

/**
 * A validation error that keeps a document from taking effect. Immutable and thread-safe.
 *
 * @param place the location in the document, a {@link FieldPath} or the first part of one
 * @param value the value found there; empty if there is none
 * @param remedy how to correct it, for a human reader
 */
public record Fault(String place, String value, String remedy) {

}
