package org.brasspier.core.load;

import java.time.Duration;

/**
 * What a gate tells the daemon that sent a request, together with the outcome. Immutable
 * and thread-safe.
 *
 * @param load load of the gate's backend server
 * @param expectedRun expected run time of a request of the same route at this server now
 * @param callRoute whether requests of the route are calls that backend servers make
 * while they run other requests, as far as the gate has observed
 */
public record GateReport(ServerLoad load, Duration expectedRun, boolean callRoute) {

	/**
	 * Validates the run time.
	 * @throws IllegalArgumentException if it is negative
	 */
	public GateReport {
		if (expectedRun.isNegative()) {
			throw new IllegalArgumentException("expectedRun %s must not be negative".formatted(expectedRun));
		}
	}

}
