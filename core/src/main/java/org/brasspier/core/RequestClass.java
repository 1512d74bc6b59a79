package org.brasspier.core;

/**
 * What a request is worth when not all can run at once, and whether it may run twice. The
 * order of the constants is the order in which waiting requests are taken.
 */
public enum RequestClass {

	/**
	 * A call of one service to another. Everything above it waits for it, so it is taken
	 * first and has slots that no outer request may use.
	 */
	INTERNAL(true),

	/** A read that somebody waits for. Idempotent. */
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
	 * Whether a second run of the same request does no harm.
	 * @return false for postings
	 */
	public boolean isIdempotent() {
		return this.idempotent;
	}

}
