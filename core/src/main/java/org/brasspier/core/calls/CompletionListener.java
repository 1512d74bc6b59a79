package org.brasspier.core.calls;

import org.brasspier.core.mesh.SendOutcome;

/**
 * Is told of each request that began at this instance and has ended, after its last
 * attempt. Called on the request thread.
 */
@FunctionalInterface
public interface CompletionListener {

	/**
	 * Called once for each completed request.
	 * @param route name of its route
	 * @param outcome its outcome
	 * @param callRoute whether the route carries calls, as the last gate that reported on
	 * it has observed
	 * @param now the current time, in nanoseconds
	 */
	void onCompleted(String route, SendOutcome outcome, boolean callRoute, long now);

}
