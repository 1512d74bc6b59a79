package org.brasspier.core.routing;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyHash;
import org.brasspier.core.ServiceName;
import org.brasspier.core.ownership.MarkedRange;

/**
 * The ownership state that the thread that keeps the lease publishes to the thread that
 * serves requests. The lease is checked against the monotonic clock before a request is
 * sent to a backend server and again before its answer is forwarded, so a process that
 * was paused beyond the end of its lease detects that by itself. Immutable and
 * thread-safe.
 *
 * @param self this instance
 * @param routes all known assignments
 * @param held the assignments that were granted to this instance; the entries for this
 * instance in {@code routes} may be newer or older
 * @param draining granted assignments that are being released: no new requests are
 * admitted, and requests in flight may finish as long as the lease is valid
 * @param marked the held ranges that came with crash marks; in the same snapshot, so that
 * no request can see a range without its marks
 * @param leaseEndNanos the end of the lease, as {@link System#nanoTime()} counts
 * @param addresses the addresses of the peers
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
	 * Creates a snapshot without draining assignments and without marks.
	 * @param self this instance
	 * @param routes all known assignments
	 * @param held the assignments that were granted to this instance
	 * @param leaseEndNanos the end of the lease, as {@link System#nanoTime()} counts
	 * @param addresses the addresses of the peers
	 */
	public OwnershipSnapshot(InstanceId self, RouteTable routes, RouteTable held, long leaseEndNanos,
			PeerAddresses addresses) {
		this(self, routes, held, RouteTable.EMPTY, List.of(), leaseEndNanos, addresses);
	}

	/**
	 * Finds the assignment that covers a point, if this instance holds it now.
	 * @param service the service
	 * @param hash the point
	 * @param nowNanos the current time, as {@link System#nanoTime()} counts
	 * @return empty if the point isn't held or the lease has expired
	 */
	public Optional<Assignment> findHeld(ServiceName service, KeyHash hash, long nowNanos) {
		return (isLeaseValid(nowNanos)) ? this.held.find(service, hash) : Optional.empty();
	}

	/**
	 * Returns whether the lease is valid.
	 * @param nowNanos the current time, as {@link System#nanoTime()} counts
	 * @return false from the end of the lease on
	 */
	public boolean isLeaseValid(long nowNanos) {
		return nowNanos - this.leaseEndNanos < 0;
	}

}
