package org.brasspier.core.request;

/**
 * One HTTP header field that is passed through. Immutable and thread-safe.
 *
 * @param name the name of the field
 * @param value its value
 */
public record HeaderField(String name, String value) {

}
