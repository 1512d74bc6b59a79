package org.brasspier.standins;

import org.brasspier.core.KeyHash;
import org.brasspier.core.KeyRange;

/**
 * One line of a backend server's history, written before the event has any consequence.
 * Immutable and thread-safe.
 *
 * @param kind what happened
 * @param atMicros when, in microseconds since 1970; for an effect the time for which its
 * fence was checked
 * @param server the server's name
 * @param incarnation distinguishes the server's processes
 * @param service its service
 * @param id the request's id, empty if none
 * @param key the request's key, empty if none
 * @param requestClass the request's class, empty if none
 * @param fence the fence of the order or of the grant, 0 if none
 * @param range the range of the order or of the grant, empty if none
 * @param note further details for people
 */
public record ServerRecord(Kind kind, long atMicros, String server, String incarnation, String service, String id,
		String key, String requestClass, long fence, String range, String note) {

	/**
	 * Returns the point that the request belongs to.
	 * @return the hash of its key, or of its id if it has no key
	 */
	public KeyHash point() {
		return KeyHash.of((this.key.isEmpty()) ? this.id : this.key);
	}

	/**
	 * The range of the order or grant.
	 * @return the range
	 * @throws IllegalArgumentException if this line has none
	 */
	public KeyRange keyRange() {
		String[] bounds = this.range.split("-");
		if (bounds.length != 2) {
			throw new IllegalArgumentException("\"%s\" is not a range".formatted(this.range));
		}
		return new KeyRange(Long.parseLong(bounds[0], 16), Long.parseLong(bounds[1], 16) + 1);
	}

	/**
	 * The kinds of records.
	 */
	public enum Kind {

		/** The process has started. */
		STARTED,

		/** The daemon granted a range. */
		GRANTED,

		/** The daemon no longer grants a range. */
		WITHDRAWN,

		/** An order begins to run. */
		BEGAN,

		/** An order took effect. */
		TOOK_EFFECT,

		/** An order was refused or ended without effect, and this was answered. */
		NOT_RUN

	}

}
