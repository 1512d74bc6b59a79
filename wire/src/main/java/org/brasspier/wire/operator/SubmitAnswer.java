package org.brasspier.wire.operator;

/**
 * The answer to an accepted submission. Immutable and thread-safe.
 *
 * @param version the version it created
 * @param hash the hash under which the version is stored
 */
public record SubmitAnswer(long version, String hash) {

}
