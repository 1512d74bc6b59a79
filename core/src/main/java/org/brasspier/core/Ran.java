package org.brasspier.core;

/**
 * What is known of a request when its answer is given.
 */
public enum Ran {

	/** It certainly did not run and will not. */
	NOT_RUN,

	/** It ran. */
	RAN,

	/** It may have run. */
	UNKNOWN

}
