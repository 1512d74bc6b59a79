package org.brasspier.wire.operator;

/**
 * A submission was accepted. Immutable and thread-safe.
 *
 * @param version the version it brought
 * @param hash the hash that names it
 */
public record SubmitAnswer(long version, String hash) {

}
