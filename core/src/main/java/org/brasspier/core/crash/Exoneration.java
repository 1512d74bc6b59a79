package org.brasspier.core.crash;

/**
 * A statement that a request did not cause a crash, since it has succeeded after the
 * crash. It says nothing about other crashes, in particular later ones. Immutable and
 * thread-safe.
 *
 * @param crash the id of the crash, see {@link CrashReport#id()}
 * @param exact the request's {@link RequestFingerprint#exact()}
 * @param resource the request's {@link RequestFingerprint#resource()}
 */
public record Exoneration(long crash, long exact, long resource) {

}
