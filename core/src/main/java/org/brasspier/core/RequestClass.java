package org.brasspier.core;

/**
 * Priority class of a request, which also determines whether the request may run twice.
 * Waiting requests are dequeued in the order of the constants. The ordinals are part of
 * the wire format.
 */
public enum RequestClass {

	/**
	 * A call from one service to another. Outer requests wait for such calls, so they are
	 * dequeued first and have reserved slots that no outer request may use.
	 */
	INTERNAL(true),

	/** An interactive read. Idempotent. */
	LOOKUP(true),

	/** A booking, completion or return instruction. Not idempotent. */
	POSTING(false),

	/** A long read that can wait. Idempotent. */
	AUDIT(true);

	private final boolean idempotent;

	RequestClass(boolean idempotent) {
		this.idempotent = idempotent;
	}

	/**
	 * Returns whether running the same request a second time is harmless.
	 * @return false for postings
	 */
	public boolean isIdempotent() {
		return this.idempotent;
	}

}
