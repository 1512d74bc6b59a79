package org.brasspier.core.keys;

/**
 * Identifies the promise that a holder asked for, so that a late message about an earlier
 * one can't be taken to be about it. Immutable and thread-safe.
 *
 * @param process id of the holder's process
 * @param askedNanos when it asked, nanoseconds of its clock; grows within a process
 */
public record PromiseMark(long process, long askedNanos) {

	/**
	 * Returns whether a withdrawal that was sent at this mark is about a promise.
	 * @param promise the mark of the promise
	 * @return false if the promise was asked for later or by another process
	 */
	public boolean covers(PromiseMark promise) {
		return this.process == promise.process && promise.askedNanos - this.askedNanos <= 0;
	}

}
