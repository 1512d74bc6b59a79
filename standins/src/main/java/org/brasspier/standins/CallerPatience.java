package org.brasspier.standins;

/**
 * How callers wait and send again. Immutable and thread-safe.
 *
 * @param sendingMillis how long a sending waits for its answer, so that a silent
 * connection costs no more, in milliseconds
 * @param mostPauseMillis the longest pause before a resend, whatever the answer says, in
 * milliseconds
 * @param mostSendings how often a request is sent in all
 */
public record CallerPatience(int sendingMillis, int mostPauseMillis, int mostSendings) {

	/** Sends again and again until its time is over, which shows each gap in service. */
	public static final CallerPatience USUAL = new CallerPatience(1000, 200, Integer.MAX_VALUE);

	/** As the callers of PolicyBench: three resends, each when it was told to. */
	public static final CallerPatience AS_TOLD = new CallerPatience(5000, 10_000, 4);

}
