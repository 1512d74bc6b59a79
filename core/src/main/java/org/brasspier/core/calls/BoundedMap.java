package org.brasspier.core.calls;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that evicts the least recently used entry above a number of entries, so that
 * names from configurations and other daemons cannot fill the memory. Not thread-safe.
 *
 * @param <V> the type of the values
 */
final class BoundedMap<V> extends LinkedHashMap<String, V> {

	private static final long serialVersionUID = 1L;

	/** Configurations have far fewer routes to one service. */
	private static final int MAX_ENTRIES = 256;

	BoundedMap() {
		super(16, 0.75f, true);
	}

	@Override
	protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
		return size() > MAX_ENTRIES;
	}

}
