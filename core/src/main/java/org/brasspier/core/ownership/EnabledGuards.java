package org.brasspier.core.ownership;

import java.util.Set;

/**
 * Which guards are on: all of them, but in the tests that prove each one needed.
 * Immutable and thread-safe.
 *
 * @param off those that are off
 */
record EnabledGuards(Set<Guard> off) {

	static final EnabledGuards ALL_ON = new EnabledGuards(Set.of());

	EnabledGuards {
		off = Set.copyOf(off);
	}

	boolean on(Guard guard) {
		return !this.off.contains(guard);
	}

}
