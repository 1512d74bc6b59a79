package org.brasspier.core.request;

/**
 * Limits on what a {@link RequestLedger} remembers. Immutable and thread-safe.
 *
 * @param entries the maximum number of postings
 * @param answerBytes the maximum size of all kept answers, in bytes
 * @param horizonMillis how long a posting is remembered, in milliseconds
 */
public record LedgerLimits(int entries, int answerBytes, long horizonMillis) {

	/**
	 * 65,536 postings are 10 minutes at about 110 per second, ten times what an owner of
	 * today's size admits. 4 MB of answers are kept, since retries arrive within seconds.
	 * Ten minutes is the longest deadline.
	 */
	public static final LedgerLimits DEFAULT = new LedgerLimits(65_536, 4 << 20, 600_000);

	/**
	 * Validates the limits.
	 * @throws IllegalArgumentException if one is not positive
	 */
	public LedgerLimits {
		if (entries < 1 || answerBytes < 1 || horizonMillis < 1) {
			throw new IllegalArgumentException("entries %d, answerBytes %d and horizonMillis %d must be at least 1"
				.formatted(entries, answerBytes, horizonMillis));
		}
	}

}
