package org.brasspier.core.choosing;

import org.brasspier.core.InstanceId;

/**
 * A backend server chosen for a request, with the reason. Immutable and thread-safe.
 *
 * @param instance its instance
 * @param reason why it was chosen
 */
public record Choice(InstanceId instance, Reason reason) {

	/**
	 * Reason for choosing a server.
	 */
	public enum Reason {

		/** The server has the earliest expected answer. */
		QUICKEST,

		/**
		 * None of the servers asked has a free slot, and the wait is shortest at this
		 * one.
		 */
		SHORTEST_WAIT,

		/**
		 * The server was not chosen for some time, so its statistics may be outdated.
		 */
		TRIAL

	}

}
