package org.brasspier.wire.operator;

/**
 * The result of an order. Immutable and thread-safe.
 *
 * @param result a sentence for the operator
 */
public record OrderAnswer(String result) {

}
