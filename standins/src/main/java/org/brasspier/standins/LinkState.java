package org.brasspier.standins;

/**
 * What a link of the proxy does.
 */
public enum LinkState {

	/** Passes everything on, after its delay. */
	WHOLE(false, false),

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

	private final boolean holdsForth;

	private final boolean holdsBack;

	LinkState(boolean holdsForth, boolean holdsBack) {
		this.holdsForth = holdsForth;
		this.holdsBack = holdsBack;
	}

	boolean holdsForth() {
		return this.holdsForth;
	}

	boolean holdsBack() {
		return this.holdsBack;
	}

}
