package org.brasspier.core.ownership;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The guards that a test runs with: all of them, but for what it turns off itself, and
 * for the one that whoever runs it wants to see missed: {@code -Dguard.off=NAME}.
 */
final class TestGuards {

	private TestGuards() {
	}

	static EnabledGuards without(Guard... off) {
		Set<Guard> all = new TreeSet<>(List.of(off));
		String named = System.getProperty("guard.off", "");
		if (!named.isEmpty()) {
			all.add(Guard.valueOf(named));
		}
		return new EnabledGuards(all);
	}

}
