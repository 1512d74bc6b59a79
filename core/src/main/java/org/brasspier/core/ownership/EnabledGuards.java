package org.brasspier.core.ownership;

import java.util.Set;

/**
 * The enabled guards. All are enabled, except in the tests that prove that each one is
 * needed. Immutable and thread-safe.
 *
 * @param disabled the disabled guards
 */
record EnabledGuards(Set<Guard> disabled) {

	static final EnabledGuards ALL = new EnabledGuards(Set.of());

	EnabledGuards {
		disabled = Set.copyOf(disabled);
	}

	boolean isEnabled(Guard guard) {
		return !this.disabled.contains(guard);
	}

}
