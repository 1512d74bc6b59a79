package org.brasspier.wire.operator;

/**
 * The owner of a key. Immutable and thread-safe.
 *
 * @param service the service
 * @param point the point of the key in the key space, in hexadecimal
 * @param range the range that contains the point, empty if none is known
 * @param owner the instance that owns the range, empty if there is none
 * @param fence the fence of the ownership; 0 if there is no owner
 * @param callers IP:PORT of the caller port of the owner's daemon, empty if unknown
 */
public record OwnerAnswer(String service, String point, String range, String owner, long fence, String callers) {

}
