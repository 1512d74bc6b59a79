package org.brasspier.core.routing;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyHash;
import org.brasspier.core.ServiceName;
import org.brasspier.core.ownership.MarkedRange;

/**
 * What the thread that keeps the lease tells the thread that serves requests. The lease
 * is checked against the monotonic clock before a request is handed to a backend server
 * and again before its answer is relayed, so a process that was paused past its lease
 * finds out by itself. Immutable and thread-safe.
 *
 * @param self this instance
 * @param routes all known assignments
 * @param held the assignments that this instance was granted; its own routes may be newer
 * or older than this
 * @param draining what it was granted and is letting go of: nothing new is admitted, what
 * is in flight may end as long as the lease runs
 * @param marked those of the held ranges that came with marks; in the same snapshot, so
 * that no request can see the range without them
 * @param leaseEndNanos when the lease ends, as {@link System#nanoTime()} counts
 * @param addresses how peers are reached
 */
public record OwnershipSnapshot(InstanceId self, RouteTable routes, RouteTable held, RouteTable draining,
		List<MarkedRange> marked, long leaseEndNanos, PeerAddresses addresses) {

	/**
	 * Copies the list.
	 */
	public OwnershipSnapshot {
		marked = List.copyOf(marked);
	}

	/**
	 * A snapshot with nothing draining and no marks.
	 * @param self this instance
	 * @param routes all known assignments
	 * @param held the assignments that this instance was granted
	 * @param leaseEndNanos when the lease ends, as {@link System#nanoTime()} counts
	 * @param addresses how peers are reached
	 */
	public OwnershipSnapshot(InstanceId self, RouteTable routes, RouteTable held, long leaseEndNanos,
			PeerAddresses addresses) {
		this(self, routes, held, RouteTable.EMPTY, List.of(), leaseEndNanos, addresses);
	}

	/**
	 * The assignment that covers a point, if this instance holds it now.
	 * @param service the service
	 * @param hash the point
	 * @param nowNanos the time, as {@link System#nanoTime()} counts
	 * @return empty if the point isn't held or the lease has run out
	 */
	public Optional<Assignment> findHeld(ServiceName service, KeyHash hash, long nowNanos) {
		return (isLeaseValid(nowNanos)) ? this.held.find(service, hash) : Optional.empty();
	}

	/**
	 * Whether the lease still runs.
	 * @param nowNanos the time, as {@link System#nanoTime()} counts
	 * @return false from the end of the lease on
	 */
	public boolean isLeaseValid(long nowNanos) {
		return nowNanos - this.leaseEndNanos < 0;
	}

}
