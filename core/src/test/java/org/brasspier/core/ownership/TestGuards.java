package org.brasspier.core.ownership;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The guards that are enabled in a test: all of them, except those that the test itself
 * disables and the one named by {@code -Dguard.off=NAME}, with which a developer can
 * check that the tests detect the missing guard.
 */
final class TestGuards {

	private TestGuards() {
	}

	static EnabledGuards without(Guard... disabled) {
		Set<Guard> allDisabled = new TreeSet<>(List.of(disabled));
		String named = System.getProperty("guard.off", "");
		if (!named.isEmpty()) {
			allDisabled.add(Guard.valueOf(named));
		}
		return new EnabledGuards(allDisabled);
	}

}
