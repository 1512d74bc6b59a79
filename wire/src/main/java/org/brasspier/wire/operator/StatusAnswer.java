package org.brasspier.wire.operator;

/**
 * One daemon's own state. Immutable and thread-safe.
 *
 * @param instance the instance
 * @param failureDomain the failure domain it is in
 * @param cell the cell it belongs to
 * @param documentVersion the version of the document in force in it
 * @param documentRead whether it knows which version is in force
 * @param leaseMillisLeft how long its lease still runs, in milliseconds; 0 if it has run
 * out
 * @param rangesHeld how many ranges it serves
 * @param eventsLost how many events were lost since its start because a ring was full
 */
public record StatusAnswer(String instance, String failureDomain, String cell, long documentVersion,
		boolean documentRead, long leaseMillisLeft, int rangesHeld, long eventsLost) {

}
