package org.brasspier.daemon.internal.gate;

/**
 * Where a request was at the gate when its caller left.
 */
public enum CancelPlace {

	/** It had not been admitted yet. */
	ARRIVING,
	/** It waited until the backend server would hold its key. */
	KEY_QUEUE,
	/** It waited for a slot. */
	QUEUE,
	/** It waited for a connection to the backend server. */
	CONNECTING,
	/** The backend server was running it. */
	RUNNING

}
