package org.brasspier.daemon.internal.event;

import org.brasspier.core.event.EventKind;

/**
 * One entry of the time line. Immutable and thread-safe.
 *
 * @param number the number of the entry in this process, without gaps
 * @param wallMillis when, as {@link System#currentTimeMillis()} counts
 * @param kind what happened
 * @param subject the key, range, request, instance or service it happened to
 * @param detail the rest, for a person
 */
public record Event(long number, long wallMillis, EventKind kind, String subject, String detail) {

}
