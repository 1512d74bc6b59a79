package org.brasspier.daemon.internal.ownership;

import org.brasspier.core.ownership.HeldRange;

/**
 * An order from the ownership thread to the request thread, sent through a ring.
 * Immutable and thread-safe.
 */
public sealed interface RequestsOrder {

	/**
	 * Stops admitting requests to a range and reports {@link RequestsReport.RangeDrained}
	 * once none of its requests is in flight. In the snapshot published before this
	 * order, the range is no longer held for new requests but listed as draining for
	 * those in flight. May be sent twice and is then answered twice.
	 *
	 * @param held the range with the fence it was held under
	 */
	record DrainRange(HeldRange held) implements RequestsOrder {

	}

}
