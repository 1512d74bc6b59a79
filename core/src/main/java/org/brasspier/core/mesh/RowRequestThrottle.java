package org.brasspier.core.mesh;

import java.time.Duration;

/**
 * When a daemon that is behind asks another one for the rows that it lacks. The load is
 * that of a daemon with connections to many others, which all notice at the same moment
 * that it is behind: told by all of them, a large row would come as many times as there
 * are connections, and a narrow network would carry nothing else for seconds. One is
 * asked at a time. Not thread-safe; one for each daemon.
 */
public final class RowRequestThrottle {

	/** After so long without an answer another daemon is asked. */
	private static final long ANSWERED_WITHIN_NANOS = Duration.ofSeconds(1).toNanos();

	private boolean waits;

	private long askedNanos;

	/**
	 * Whether to ask another daemon now. If so, it counts as asked.
	 * @param now the time
	 * @return false while an answer is expected
	 */
	public boolean tryRequest(long now) {
		if (this.waits && now - this.askedNanos < ANSWERED_WITHIN_NANOS) {
			return false;
		}
		this.waits = true;
		this.askedNanos = now;
		return true;
	}

	/** Takes that rows came which were not known. */
	public void onRowsReceived() {
		this.waits = false;
	}

}
