package org.brasspier.daemon.internal.ownership;

import org.brasspier.core.ownership.HeldRange;

/**
 * What the thread of ownership asks of the thread of requests, through a ring. Immutable
 * and thread-safe.
 */
public sealed interface RequestsOrder {

	/**
	 * Stop admitting requests to a range, and report {@link RequestsReport.RangeDrained}
	 * once nothing of it is in flight. The snapshot published before this order no longer
	 * holds the range for new requests; those in flight are listed as draining. May come
	 * twice, and then is answered twice.
	 *
	 * @param held the range with the fence it was held under
	 */
	record DrainRange(HeldRange held) implements RequestsOrder {

	}

}
