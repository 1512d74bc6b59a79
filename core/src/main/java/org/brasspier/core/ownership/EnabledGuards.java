package org.brasspier.core.ownership;

import java.util.Set;

/**
 * The enabled guards. All are enabled, except in the tests that prove that each one is
 * needed. Immutable and thread-safe.
 *
 * @param off the disabled guards
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
