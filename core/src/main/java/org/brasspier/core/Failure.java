package org.brasspier.core;

import java.time.Duration;

/**
 * An error as it is passed within a process, the left side of Vavr's {@code Either}.
 * Immutable and thread-safe.
 *
 * @param kind what went wrong
 * @param detail one sentence for a human reader, without secrets
 * @param retryAfter delay after which a retry makes sense; zero if at once or never
 */
public record Failure(ErrorKind kind, String detail, Duration retryAfter) {

	/**
	 * Validates the delay.
	 * @throws IllegalArgumentException if the delay is negative
	 */
	public Failure {
		if (retryAfter.isNegative()) {
			throw new IllegalArgumentException("retryAfter %s must not be negative".formatted(retryAfter));
		}
	}

	/**
	 * Creates a failure without a delay for the retry.
	 * @param kind what went wrong
	 * @param detail one sentence for a human reader
	 * @return the failure
	 */
	public static Failure of(ErrorKind kind, String detail) {
		return new Failure(kind, detail, Duration.ZERO);
	}

}
