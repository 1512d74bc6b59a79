package org.brasspier.daemon.internal.backend;

import java.util.Collection;
import java.util.List;

import org.brasspier.core.ownership.HeldRange;

/**
 * The body of {@code PUT /brasspier/grants} as specified in docs/API.md. Immutable and
 * thread-safe.
 *
 * @param grants all grants
 * @param validMillis validity after receipt, in milliseconds
 * @param validUntil end of the validity, in milliseconds since 1970
 */
record GrantList(List<Grant> grants, long validMillis, long validUntil) {

	private static final long NANOS_PER_MILLI = 1_000_000;

	// Reads the time of day first, so that a pause between the two clock readings can't
	// extend the validity.
	static GrantList until(long untilNanos, Collection<HeldRange> held) {
		long timeOfDayMillis = System.currentTimeMillis();
		long validMillis = Math.max(0, (untilNanos - System.nanoTime()) / NANOS_PER_MILLI);
		return new GrantList(held.stream().map(Grant::of).toList(), validMillis, timeOfDayMillis + validMillis);
	}

	/**
	 * A grant of one range.
	 *
	 * @param service the service
	 * @param low the first point
	 * @param high the point after the last
	 * @param fence the fence
	 */
	record Grant(String service, long low, long high, long fence) {

		static Grant of(HeldRange held) {
			return new Grant(held.service().value(), held.range().low(), held.range().high(), held.fence().value());
		}

	}

}
