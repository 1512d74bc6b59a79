package org.brasspier.core.ownership;

import java.util.Optional;

/**
 * A member's revocation as the primary sees it.
 *
 * @param since when the primary stopped renewing it
 * @param promiseUntil until when the secondary's last renewal may run, once it has
 * promised
 */
record Revocation(long since, Optional<Long> promiseUntil) {

	Revocation promised(long until) {
		return new Revocation(this.since, Optional.of(Math.max(until, this.promiseUntil.orElse(Long.MIN_VALUE))));
	}

}
