package org.brasspier.core.mesh;

import java.time.Duration;

/**
 * Limits the requests of a daemon for rows that it lacks to one at a time. It is made for
 * a daemon with connections to many others, which all notice at the same moment that it
 * is behind: if all of them sent a large row, it would arrive once per connection, and a
 * narrow network would carry nothing else for seconds. Not thread-safe; one for each
 * daemon.
 */
public final class RowRequestThrottle {

	/** After this time without an answer, another daemon is asked. */
	private static final long ANSWER_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();

	private boolean waiting;

	private long requestedNanos;

	/**
	 * Returns whether to request rows from another daemon now. If so, the request counts
	 * as sent.
	 * @param nowNanos the current time, in nanoseconds of the steady clock
	 * @return false while an answer is expected
	 */
	public boolean tryRequest(long nowNanos) {
		if (this.waiting && nowNanos - this.requestedNanos < ANSWER_TIMEOUT_NANOS) {
			return false;
		}
		this.waiting = true;
		this.requestedNanos = nowNanos;
		return true;
	}

	/** Records that new rows were received. */
	public void onRowsReceived() {
		this.waiting = false;
	}

}
