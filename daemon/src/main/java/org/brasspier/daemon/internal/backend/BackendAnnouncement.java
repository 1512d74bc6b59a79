package org.brasspier.daemon.internal.backend;

/**
 * What a backend server says of itself when it announces itself. Immutable and
 * thread-safe.
 *
 * @param service the service it belongs to
 * @param address its IP number and port
 * @param slots how many requests it runs at once
 * @param connections how many connections it accepts
 * @param checksFences whether it refuses orders under an old fence
 */
public record BackendAnnouncement(String service, String address, int slots, int connections, boolean checksFences) {

	/**
	 * Checks the numbers.
	 * @throws IllegalArgumentException if a limit is not positive
	 */
	public BackendAnnouncement {
		if (slots < 1 || connections < 1) {
			throw new IllegalArgumentException(
					"slots %d and connections %d must be at least 1 (see TROUBLESHOOTING.md#bad-announcement)"
						.formatted(slots, connections));
		}
	}

}
