package org.brasspier.core.keys;

import java.time.Duration;

import org.brasspier.core.Fence;

/**
 * A call to a backend server about keys. Immutable and thread-safe.
 */
public sealed interface GrantCall {

	/**
	 * The life of the backend server that it is meant for.
	 * @return the life
	 */
	BackendIncarnation incarnation();

	/**
	 * The keys.
	 * @return the span
	 */
	KeySpan span();

	/**
	 * The fence under which the keys are held.
	 * @return the fence
	 */
	Fence fence();

	/**
	 * Grants keys, or renews their grant.
	 *
	 * @param incarnation the life of the backend server that it is meant for
	 * @param span the keys
	 * @param fence the fence
	 * @param handover what the previous holder handed over; empty if nothing
	 * @param hold how long the keys may be held from when the call arrives
	 */
	record Grant(BackendIncarnation incarnation, KeySpan span, Fence fence, String handover,
			Duration hold) implements GrantCall {
	}

	/**
	 * Ends a grant. It is answered once no work on the keys is running any more.
	 *
	 * @param incarnation the life of the backend server that it is meant for
	 * @param span the keys
	 * @param fence the fence
	 */
	record Release(BackendIncarnation incarnation, KeySpan span, Fence fence) implements GrantCall {
	}

}
