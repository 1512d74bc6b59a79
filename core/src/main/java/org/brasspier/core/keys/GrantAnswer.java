package org.brasspier.core.keys;

import java.time.Duration;
import java.util.List;

/**
 * Everything that a backend server is to hold, and for how long from when it sent its
 * heartbeat. It releases all else. Immutable and thread-safe.
 *
 * @param grants the keys
 * @param hold how long it may hold them
 */
public record GrantAnswer(List<KeyGrant> grants, Duration hold) {

	/**
	 * Copies the list.
	 */
	public GrantAnswer {
		grants = List.copyOf(grants);
	}

}
