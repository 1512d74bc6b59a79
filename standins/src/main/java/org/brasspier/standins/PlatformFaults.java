package org.brasspier.standins;

/**
 * What is wrong with the platform's store just now. Immutable and thread-safe.
 *
 * @param outage whether each call is answered 503 without effect
 * @param slowMillis how long each call takes, in milliseconds; a write takes effect half
 * way, so that one whose caller gave up may take effect later
 * @param lostAnswers how many of the next writes take effect but lose their answer
 */
public record PlatformFaults(boolean outage, int slowMillis, int lostAnswers) {

	/** Nothing is wrong. */
	public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0);

	/** Each call is answered 503. */
	public static final PlatformFaults OUTAGE = new PlatformFaults(true, 0, 0);

	/**
	 * Checks the numbers.
	 * @throws IllegalArgumentException if one is negative
	 */
	public PlatformFaults {
		if (slowMillis < 0 || lostAnswers < 0) {
			throw new IllegalArgumentException(
					"slowMillis %d and lostAnswers %d must not be negative".formatted(slowMillis, lostAnswers));
		}
	}

	/**
	 * Each call is slow.
	 * @param millis how long it takes, in milliseconds
	 * @return the faults
	 */
	public static PlatformFaults slow(int millis) {
		return new PlatformFaults(false, millis, 0);
	}

	/**
	 * Writes lose their answers.
	 * @param writes how many of the next writes
	 * @return the faults
	 */
	public static PlatformFaults losingAnswers(int writes) {
		return new PlatformFaults(false, 0, writes);
	}

	PlatformFaults withOneLostAnswerLess() {
		return new PlatformFaults(this.outage, this.slowMillis, this.lostAnswers - 1);
	}

}
