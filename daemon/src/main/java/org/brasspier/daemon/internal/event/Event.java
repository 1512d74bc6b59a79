package org.brasspier.daemon.internal.event;

import org.brasspier.core.event.EventKind;
import org.brasspier.core.event.HybridTime;

/**
 * One entry of the event log. Immutable and thread-safe.
 *
 * @param number the number of the entry in this process, increasing; lost events leave no
 * gap in the numbers but are reported by an entry of their own
 * @param stamp the hybrid timestamp, which orders events of all processes consistently
 * with cause and effect
 * @param kind the kind of the event
 * @param subject the key, range, request, instance or service that the event is about
 * @param detail further information for operators
 */
public record Event(long number, HybridTime stamp, EventKind kind, EventSubject subject, String detail) {

}
