package org.brasspier.core.document;

/**
 * One thing that keeps a document from taking effect. Immutable and thread-safe.
 *
 * @param place where in the document, a {@link FieldPath} or the head of one
 * @param value the value found there, empty if there is none
 * @param remedy what to do about it, for a person
 */
public record Fault(String place, String value, String remedy) {

}
