package org.brasspier.core.keys;

import java.time.Duration;

import org.brasspier.core.Fence;

/**
 * A call that grants keys to a backend server or ends a grant. Immutable and thread-safe.
 */
public sealed interface GrantCall {

	/**
	 * Returns the incarnation of the backend server that the call addresses.
	 * @return the incarnation
	 */
	BackendIncarnation incarnation();

	/**
	 * Returns the keys.
	 * @return the span
	 */
	KeySpan span();

	/**
	 * Returns the fence under which the keys are held.
	 * @return the fence
	 */
	Fence fence();

	/**
	 * Grants keys or renews their grant.
	 *
	 * @param incarnation the incarnation of the backend server that the call addresses
	 * @param span the keys
	 * @param fence the fence
	 * @param handover token from the previous holder; empty if there is none
	 * @param hold how long the server may hold the keys from the arrival of the call
	 */
	record Grant(BackendIncarnation incarnation, KeySpan span, Fence fence, String handover,
			Duration hold) implements GrantCall {
	}

	/**
	 * Ends a grant. The server answers once no requests for the keys are running.
	 *
	 * @param incarnation the incarnation of the backend server that the call addresses
	 * @param span the keys
	 * @param fence the fence
	 */
	record Release(BackendIncarnation incarnation, KeySpan span, Fence fence) implements GrantCall {
	}

}
