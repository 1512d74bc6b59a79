package org.brasspier.daemon.mesh;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.brasspier.core.ServiceName;
import org.brasspier.core.keys.HoldReport;

/**
 * State that a backend server reports about itself. Immutable and thread-safe.
 *
 * @param service service of the backend server
 * @param address address on which the backend server listens
 * @param slots number of requests that it runs at once, at least 1
 * @param draining whether it is about to stop
 * @param coldStartRemaining remaining time during which it is slow after its start
 * @param sequence increases with each heartbeat of an incarnation, so that a delayed
 * heartbeat is recognized
 * @param holds its incarnation, the keys that it holds and the keys that it has released
 */
public record Heartbeat(ServiceName service, InetSocketAddress address, int slots, boolean draining,
		Duration coldStartRemaining, long sequence, HoldReport holds) {

	/**
	 * Validates the ranges of the numbers.
	 * @throws IllegalArgumentException if {@code slots} is less than 1, or the remaining
	 * time or the sequence is negative
	 */
	public Heartbeat {
		if (slots < 1 || coldStartRemaining.isNegative() || sequence < 0) {
			throw new IllegalArgumentException(
					"slots %d must be at least 1, cold start %s and sequence %d must not be negative".formatted(slots,
							coldStartRemaining, sequence));
		}
	}

}
