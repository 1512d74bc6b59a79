package org.brasspier.standins;

/**
 * What a link of the proxy does.
 */
public enum LinkState {

	/** Passes everything on, after its delay. */
	HEALTHY(false, false),

	/** Closes open connections and each new one. */
	RESET(false, false),

	/**
	 * Passes nothing on; what was sent meanwhile arrives late, once it is whole again.
	 */
	HELD(true, true),

	/** Passes on answers only. */
	HELD_FORTH(true, false),

	/** Passes on requests only. */
	HELD_BACK(false, true);

	private final boolean holdsRequests;

	private final boolean holdsAnswers;

	LinkState(boolean holdsRequests, boolean holdsAnswers) {
		this.holdsRequests = holdsRequests;
		this.holdsAnswers = holdsAnswers;
	}

	boolean holdsRequests() {
		return this.holdsRequests;
	}

	boolean holdsAnswers() {
		return this.holdsAnswers;
	}

}
