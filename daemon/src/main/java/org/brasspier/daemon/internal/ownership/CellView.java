package org.brasspier.daemon.internal.ownership;

import java.util.List;
import java.util.Optional;

import org.brasspier.core.FailureDomain;
import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;
import org.brasspier.core.routing.PeerAddress;

/**
 * The state of the cell as known to this daemon, for operators. Immutable and
 * thread-safe.
 *
 * @param version the version of the underlying row, 0 if none was read yet
 * @param epoch the epoch of the lease managers
 * @param primary the primary lease manager, if there is one
 * @param secondary the secondary lease manager, if there is one
 * @param members the members
 * @param ranges the ranges of all services
 * @param moves the planned moves in progress; known to the primary only
 */
public record CellView(long version, long epoch, Optional<InstanceId> primary, Optional<InstanceId> secondary,
		List<Member> members, List<Range> ranges, List<Move> moves) {

	/** No state is known yet. */
	public static final CellView UNKNOWN = new CellView(0, 0, Optional.empty(), Optional.empty(), List.of(), List.of(),
			List.of());

	/**
	 * Copies the lists.
	 */
	public CellView {
		members = List.copyOf(members);
		ranges = List.copyOf(ranges);
		moves = List.copyOf(moves);
	}

	/**
	 * An instance.
	 *
	 * @param instance the id of the instance
	 * @param domain its failure domain
	 * @param service the service of its backend server, empty if it has none
	 * @param phase the phase of the member, as text for operators
	 * @param slots how many requests its backend server runs concurrently
	 * @param checksFences whether its backend server refuses old fences
	 * @param address the host and ports of its daemon
	 * @param heardMillisAgo time since the last message from the instance, empty unless
	 * this daemon is a lease manager
	 */
	public record Member(InstanceId instance, FailureDomain domain, Optional<ServiceName> service, String phase,
			int slots, boolean checksFences, PeerAddress address, Optional<Long> heardMillisAgo) {

	}

	/**
	 * A range.
	 *
	 * @param service the service
	 * @param range the key hashes in the range
	 * @param owner the owner, if there is one
	 * @param fence the fence of its last change of owner
	 */
	public record Range(ServiceName service, KeyRange range, Optional<InstanceId> owner, Fence fence) {

	}

	/**
	 * A planned move.
	 *
	 * @param service the service
	 * @param range the range
	 * @param to the next owner
	 * @param released whether the current owner has released the range
	 */
	public record Move(ServiceName service, KeyRange range, InstanceId to, boolean released) {

	}

}
