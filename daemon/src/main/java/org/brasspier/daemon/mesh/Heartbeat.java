package org.brasspier.daemon.mesh;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.brasspier.core.ServiceName;
import org.brasspier.core.keys.HoldReport;

/**
 * What a backend server says of itself. Immutable and thread-safe.
 *
 * @param service its service
 * @param address where it listens
 * @param slots how many requests it runs at once, at least 1
 * @param draining whether it is leaving
 * @param coldStartRemaining how much longer it is slow after its start
 * @param sequence grows with each heartbeat of a life, so that a late one is known
 * @param holds its life, and the keys it holds and has let go of
 */
public record Heartbeat(ServiceName service, InetSocketAddress address, int slots, boolean draining,
		Duration coldStartRemaining, long sequence, HoldReport holds) {

	/**
	 * Checks the numbers.
	 * @throws IllegalArgumentException if one is out of its range
	 */
	public Heartbeat {
		if (slots < 1 || coldStartRemaining.isNegative() || sequence < 0) {
			throw new IllegalArgumentException("slots %d must be at least 1, cold %s and sequence %d not negative"
				.formatted(slots, coldStartRemaining, sequence));
		}
	}

}
