package org.brasspier.core;

import java.time.Duration;

/**
 * One error as it's passed inside a process, the left side of Vavr's {@code Either}.
 * Immutable and thread-safe.
 *
 * @param kind what went wrong
 * @param detail one sentence for a person, without secrets
 * @param retryAfter when a resend makes sense; zero if at once or never
 */
public record Failure(ErrorKind kind, String detail, Duration retryAfter) {

	/**
	 * Checks the pause.
	 * @throws IllegalArgumentException if the pause is negative
	 */
	public Failure {
		if (retryAfter.isNegative()) {
			throw new IllegalArgumentException("retryAfter %s must not be negative".formatted(retryAfter));
		}
	}

	/**
	 * An error with no hint when to resend.
	 * @param kind what went wrong
	 * @param detail one sentence for a person
	 * @return the failure
	 */
	public static Failure of(ErrorKind kind, String detail) {
		return new Failure(kind, detail, Duration.ZERO);
	}

}
