package org.brasspier.core.returns;

/**
 * Whether a request is the retry of one that was refused. The ordinals are part of the
 * wire format.
 */
public enum ReturnStatus {

	/** No refusal of the request is remembered. */
	NEW,

	/** Its caller was refused and comes no sooner than it was told. */
	ON_TIME,

	/** Its caller was refused and comes sooner than it was told. */
	EARLY;

	/**
	 * Returns the status with an ordinal that another daemon sent.
	 * @param ordinal the ordinal
	 * @return the status; {@link #NEW} if there is none with this ordinal
	 */
	public static ReturnStatus of(int ordinal) {
		return (ordinal == ON_TIME.ordinal()) ? ON_TIME : (ordinal == EARLY.ordinal()) ? EARLY : NEW;
	}

}
