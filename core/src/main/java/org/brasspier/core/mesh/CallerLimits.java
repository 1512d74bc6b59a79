package org.brasspier.core.mesh;

import java.time.Duration;

/**
 * What callers may send, and how long they may take. Immutable and thread-safe.
 *
 * @param maxHeaderBytes the largest head of a request
 * @param maxBodyBytes the largest body of a request
 * @param headerTimeout how long a caller may take to send the head
 * @param idleTimeout how long a connection may rest between requests
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

	/** In force until a configuration is known. */
	public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 64 * 1024 * 1024, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

	/**
	 * Checks the limits.
	 * @throws IllegalArgumentException if one is not positive
	 */
	public CallerLimits {
		if (maxHeaderBytes < 1 || maxBodyBytes < 1 || !headerTimeout.isPositive() || !idleTimeout.isPositive()) {
			throw new IllegalArgumentException("limits of %d and %d bytes, %s and %s must be positive"
				.formatted(maxHeaderBytes, maxBodyBytes, headerTimeout, idleTimeout));
		}
	}

}
