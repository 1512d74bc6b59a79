package org.brasspier.core.ownership;

import java.util.Optional;

import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.routing.PeerAddress;

/**
 * The information that a member announces and the row stores. Immutable and thread-safe.
 *
 * @param key the member's process
 * @param domain its failure domain
 * @param address the address and ports of its daemon
 * @param phase its phase
 * @param backend its backend server, if one has announced itself
 */
public record MemberInfo(MemberKey key, FailureDomain domain, PeerAddress address, MemberPhase phase,
		Optional<Backend> backend) {

	/**
	 * Returns the instance.
	 * @return its identity
	 */
	public InstanceId instance() {
		return this.key.instance();
	}

	/**
	 * Returns the service of its backend server.
	 * @return empty if it has no backend server
	 */
	public Optional<ServiceName> service() {
		return this.backend.map(Backend::service);
	}

	/**
	 * Returns how long a request that this member has sent to a backend server may take
	 * effect after the lease has ended.
	 * @return the time in milliseconds, 0 if the server checks fences or there is none
	 */
	public long guardMillis() {
		return this.backend.filter((server) -> !server.checksFences()).map(Backend::guardMillis).orElse(0);
	}

	/**
	 * Returns the same member in another phase.
	 * @param other the phase
	 * @return the member
	 */
	public MemberInfo withPhase(MemberPhase other) {
		return new MemberInfo(this.key, this.domain, this.address, other, this.backend);
	}

	/**
	 * The backend server of a member.
	 *
	 * @param service its service
	 * @param slots how many requests it runs concurrently
	 * @param checksFences whether it rejects requests with an old fence
	 * @param coldStartMillis how long it takes to warm up, in milliseconds
	 * @param guardMillis how long after the end of a lease a request may still take
	 * effect on it, in milliseconds; irrelevant if it checks fences
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
