package org.brasspier.standins;

/**
 * What a link of the proxy does with the data that it receives.
 */
public enum LinkState {

	/** Forwards everything after the link's delay. */
	HEALTHY(false, false),

	/** Closes open connections, and new ones as soon as they are accepted. */
	RESET(false, false),

	/**
	 * Forwards nothing in either direction; TCP data is buffered and delivered once the
	 * link is healthy again.
	 */
	HELD(true, true),

	/** Holds requests (towards the target); forwards answers only. */
	HELD_FORTH(true, false),

	/** Holds answers (from the target); forwards requests only. */
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
