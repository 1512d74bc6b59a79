package org.brasspier.core.ownership;

/**
 * Marks a request that was in flight when a backend server was lost. A range's marks
 * reach its next owner before any request does, so that the same request can't crash one
 * backend server after the other. Immutable and thread-safe.
 *
 * @param crashFingerprint the hash of the request's service and id, or of its contents if
 * the id was generated
 * @param crashes the number of losses during which it was in flight, at least 1
 */
public record CrashMark(long crashFingerprint, int crashes) {

	/** Maximum number of marks for each range; the latest ones are kept. */
	public static final int MAX_PER_RANGE = 16;

	/**
	 * Checks the count.
	 * @throws IllegalArgumentException if the count is not positive
	 */
	public CrashMark {
		if (crashes < 1) {
			throw new IllegalArgumentException("crashes %d must be at least 1".formatted(crashes));
		}
	}

}
