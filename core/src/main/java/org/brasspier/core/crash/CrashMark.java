package org.brasspier.core.crash;

/**
 * How often a request was in flight when a backend server was lost. Immutable and
 * thread-safe.
 *
 * @param fingerprint the request id, or a fingerprint of its contents where the id was
 * made up
 * @param crashes how often, at least 1
 * @param lastMillis when last, in milliseconds since 1970, since marks travel between
 * daemons
 */
public record CrashMark(String fingerprint, int crashes, long lastMillis) {

	/**
	 * Checks the count.
	 * @throws IllegalArgumentException if it is less than 1
	 */
	public CrashMark {
		if (crashes < 1) {
			throw new IllegalArgumentException("crashes %d must be at least 1".formatted(crashes));
		}
	}

}
