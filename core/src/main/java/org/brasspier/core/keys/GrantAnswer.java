package org.brasspier.core.keys;

import java.time.Duration;
import java.util.List;

/**
 * Answer to a heartbeat: all keys that a backend server may hold, and for how long from
 * the sending of the heartbeat. The server releases all other keys. Immutable and
 * thread-safe.
 *
 * @param grants the granted keys
 * @param hold how long the server may hold them
 */
public record GrantAnswer(List<KeyGrant> grants, Duration hold) {

	/**
	 * Copies the list.
	 */
	public GrantAnswer {
		grants = List.copyOf(grants);
	}

}
