package org.brasspier.core.request;

/**
 * How much a {@link RequestLedger} remembers. Immutable and thread-safe.
 *
 * @param entries how many postings
 * @param answerBytes how many bytes of answers
 * @param horizonMillis for how long, in milliseconds
 */
public record LedgerLimits(int entries, int answerBytes, long horizonMillis) {

	/**
	 * 65,536 postings are 10 minutes of about 110 a second, ten times what an owner of
	 * today's size admits; 4 MB of answers are kept, since a resend comes within seconds.
	 * Ten minutes is the longest deadline.
	 */
	public static final LedgerLimits DEFAULT = new LedgerLimits(65_536, 4 << 20, 600_000);

	/**
	 * Checks the numbers.
	 * @throws IllegalArgumentException if one is not positive
	 */
	public LedgerLimits {
		if (entries < 1 || answerBytes < 1 || horizonMillis < 1) {
			throw new IllegalArgumentException("entries %d, answerBytes %d and horizonMillis %d must be at least 1"
				.formatted(entries, answerBytes, horizonMillis));
		}
	}

}
