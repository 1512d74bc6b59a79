package org.brasspier.wire.operator;

/**
 * Who owns a key. Immutable and thread-safe.
 *
 * @param service the service
 * @param point the key's point, in hexadecimal
 * @param range the range that the point is in, empty if none is known
 * @param owner the instance that owns it, empty if nobody does
 * @param fence the fence under which it does; 0 if nobody does
 * @param callers IP:PORT of its daemon's port for callers, empty if unknown
 */
public record OwnerAnswer(String service, String point, String range, String owner, long fence, String callers) {

}
