package org.brasspier.core.ownership;

import java.util.Optional;

/**
 * Revocation of a member's lease, as the primary sees it.
 *
 * @param since when the primary stopped renewing the lease
 * @param promiseUntil the latest time at which the secondary's last renewal may end, once
 * the secondary has promised not to renew again
 */
record Revocation(long since, Optional<Long> promiseUntil) {

	Revocation withPromise(long until) {
		return new Revocation(this.since, Optional.of(Math.max(until, this.promiseUntil.orElse(Long.MIN_VALUE))));
	}

}
