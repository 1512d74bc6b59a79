package org.brasspier.core.choosing;

import org.brasspier.core.InstanceId;

/**
 * A backend server that was chosen for a request, and why. Immutable and thread-safe.
 *
 * @param instance its identity
 * @param reason why it was chosen
 */
public record Choice(InstanceId instance, Reason reason) {

	/**
	 * Why a server is chosen.
	 */
	public enum Reason {

		/** Its answer is expected first. */
		QUICKEST,

		/** No server that was asked has a free slot, and the wait is shortest there. */
		SHORTEST_WAIT,

		/**
		 * It was not chosen for a while, and what was observed of it may have changed.
		 */
		TRIAL

	}

}
