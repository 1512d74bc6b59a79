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
	 * The service of its backend server.
	 * @return empty if it has none
	 */
	public Optional<ServiceName> service() {
		return this.backend.map(Backend::service);
	}

	/**
	 * How long orders of this member's backend server may take effect after a lease.
	 * @return the time in milliseconds, 0 if the server checks fences or there is none
	 */
	public long guardMillis() {
		return this.backend.filter((server) -> !server.checksFences()).map(Backend::guardMillis).orElse(0);
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
	 * @param guardMillis how long after a lease's end an order may still take effect on
	 * it, in milliseconds; of no account if it checks fences
	 */
	public record Backend(ServiceName service, int slots, boolean checksFences, int coldStartMillis, int guardMillis) {

		/**
		 * Checks the numbers.
		 * @throws IllegalArgumentException if a time is negative
		 */
		public Backend {
			if (coldStartMillis < 0 || guardMillis < 0) {
				throw new IllegalArgumentException("coldStartMillis %d and guardMillis %d must not be negative"
					.formatted(coldStartMillis, guardMillis));
			}
		}

	}

}
