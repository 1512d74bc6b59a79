package org.brasspier.standins;

/**
 * The faults that the platform's store shows at present. Immutable and thread-safe.
 *
 * @param outage whether each call is answered 503 without effect
 * @param slowMillis how long each call takes, in milliseconds; a write takes effect after
 * half of that time, so that it may take effect after its caller has timed out
 * @param lostAnswers how many of the next writes take effect without being answered
 */
public record PlatformFaults(boolean outage, int slowMillis, int lostAnswers) {

	/** No faults. */
	public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0);

	/** Each call is answered with status 503. */
	public static final PlatformFaults OUTAGE = new PlatformFaults(true, 0, 0);

	/**
	 * Checks that no number is negative.
	 * @throws IllegalArgumentException if one is negative
	 */
	public PlatformFaults {
		if (slowMillis < 0 || lostAnswers < 0) {
			throw new IllegalArgumentException(
					"slowMillis %d and lostAnswers %d must not be negative".formatted(slowMillis, lostAnswers));
		}
	}

	/**
	 * Makes each call slow.
	 * @param millis duration of each call, in milliseconds
	 * @return the faults
	 */
	public static PlatformFaults slow(int millis) {
		return new PlatformFaults(false, millis, 0);
	}

	/**
	 * Makes writes take effect without being answered.
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
