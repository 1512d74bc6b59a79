package org.brasspier.core;

/**
 * Whether a request was run, as far as is known when it is answered.
 */
public enum Ran {

	/** It was not run and never will be. */
	NOT_RUN,

	/** It was run. */
	RAN,

	/** It may or may not have been run. */
	UNKNOWN

}
