package org.brasspier.core.request;

/**
 * An HTTP header field that is passed through. Immutable and thread-safe.
 *
 * @param name the field's name
 * @param value its value
 */
public record HeaderField(String name, String value) {

}
