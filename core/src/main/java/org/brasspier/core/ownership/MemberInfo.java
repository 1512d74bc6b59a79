package org.brasspier.core.ownership;

import java.util.Optional;

import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.routing.PeerAddress;

/**
 * What a member announces of itself and the row keeps. Immutable and thread-safe.
 *
 * @param key which process it is
 * @param domain its failure domain
 * @param address its daemon's ports
 * @param phase what may be done with it
 * @param backend its backend server, if one has announced itself
 */
public record MemberInfo(MemberKey key, FailureDomain domain, PeerAddress address, MemberPhase phase,
		Optional<Backend> backend) {

	/**
	 * The instance.
	 * @return its identity
	 */
	public InstanceId instance() {
		return this.key.instance();
	}

	/**
	 * Whether orders of this member's backend server may take effect after its lease.
	 * @return true if the server does not check fences
	 */
	public boolean needsGuard() {
		return this.backend.filter((server) -> !server.checksFences()).isPresent();
	}

	/**
	 * The same member in another phase.
	 * @param other the phase
	 * @return the member
	 */
	public MemberInfo in(MemberPhase other) {
		return new MemberInfo(this.key, this.domain, this.address, other, this.backend);
	}

	/**
	 * The backend server of a member.
	 *
	 * @param service its service
	 * @param slots how many requests it runs at once
	 * @param checksFences whether it refuses orders under an old fence
	 * @param coldStartMillis how long it takes to be warm, in milliseconds
	 */
	public record Backend(ServiceName service, int slots, boolean checksFences, int coldStartMillis) {

	}

}
