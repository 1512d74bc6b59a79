package org.brasspier.daemon.internal.event;

import org.brasspier.core.event.EventKind;
import org.brasspier.core.event.HybridTime;

/**
 * One entry of the time line. Immutable and thread-safe.
 *
 * @param number the number of the entry in this process, growing; what was lost leaves no
 * gap but an entry of its own
 * @param stamp when, in an order over all processes that respects cause and effect
 * @param kind what happened
 * @param subject the key, range, request, instance or service it happened to
 * @param detail the rest, for a person
 */
public record Event(long number, HybridTime stamp, EventKind kind, EventSubject subject, String detail) {

}
