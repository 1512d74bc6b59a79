package org.brasspier.core.mesh;

import java.time.Duration;

/**
 * Limits on what callers may send and how long they may take. Immutable and thread-safe.
 *
 * @param maxHeaderBytes the maximum size of a request's head, in bytes
 * @param maxBodyBytes the maximum size of a request's body, in bytes
 * @param headerTimeout how long a caller may take to send the head
 * @param idleTimeout how long a connection may be idle between requests
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

	/** The limits that apply until a configuration is known. */
	public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 64 * 1024 * 1024, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

	/**
	 * Validates the limits.
	 * @throws IllegalArgumentException if one is not positive
	 */
	public CallerLimits {
		if (maxHeaderBytes < 1 || maxBodyBytes < 1 || !headerTimeout.isPositive() || !idleTimeout.isPositive()) {
			throw new IllegalArgumentException("limits of %d and %d bytes, %s and %s must be positive"
				.formatted(maxHeaderBytes, maxBodyBytes, headerTimeout, idleTimeout));
		}
	}

}
