package org.brasspier.core.admission;

/**
 * Limits announced by a backend server. Immutable and thread-safe.
 *
 * @param slots how many requests it runs at once, at least 1
 * @param connections how many connections it accepts, at least 1
 */
public record AdmissionLimits(int slots, int connections) {

	/**
	 * Checks the numbers.
	 * @throws IllegalArgumentException if one is less than 1
	 */
	public AdmissionLimits {
		if (slots < 1 || connections < 1) {
			throw new IllegalArgumentException(
					"slots %d and connections %d must be at least 1 (see TROUBLESHOOTING.md#bad-announcement)"
						.formatted(slots, connections));
		}
	}

	/**
	 * Returns how many requests the backend server may process at once: each needs a slot
	 * and a connection.
	 * @return at least 1
	 */
	public int concurrency() {
		return Math.min(this.slots, this.connections);
	}

}
