package org.brasspier.core.request;

/**
 * Tracks whether the backend server on a daemon's instance is alive.
 *
 * <p>
 * It is made for servers whose health status lags or misleads: a refused connection
 * proves a loss, missing answers count as one only if nothing else was received, and an
 * answered order outweighs a probe that timed out. A frozen server accepts connections
 * and sends nothing. Two probes in a row must time out, because a single time-out may be
 * a long garbage collection pause. Not thread-safe.
 */
public final class BackendLiveness {

	/**
	 * The number of consecutive probe time-outs at which the server counts as frozen.
	 */
	static final int MAX_PROBE_TIMEOUTS = 2;

	/** An announcement arrives every second; three missing ones are no accident. */
	static final long ANNOUNCEMENT_TIMEOUT_NANOS = 3_500_000_000L;

	private boolean known;

	private boolean lost;

	private boolean gone;

	private int probeTimeouts;

	private long announcedAtNanos;

	/**
	 * Records an announcement of the server.
	 * @param nowNanos the current time, in nanoseconds of a monotonic clock
	 */
	public void onAnnouncement(long nowNanos) {
		this.known = true;
		this.announcedAtNanos = nowNanos;
		onAnswer();
	}

	/**
	 * Records that the server answered a probe or an order.
	 */
	public void onAnswer() {
		this.probeTimeouts = 0;
		this.lost = false;
		this.gone = false;
	}

	/**
	 * Records that a probe was not answered in time.
	 */
	public void onProbeTimeout() {
		this.probeTimeouts++;
		this.lost |= this.probeTimeouts >= MAX_PROBE_TIMEOUTS;
	}

	/**
	 * Records that the server's port refused a connection, so no process listens there.
	 */
	public void onConnectionRefused() {
		this.lost = true;
		this.gone = true;
	}

	/**
	 * Returns whether the server's process is known to have ended, rather than only not
	 * answering.
	 * @return true from a refused connection until the next announcement or answer
	 */
	public boolean isGone() {
		return this.gone;
	}

	/**
	 * Returns whether orders may be sent to the server.
	 * @param nowNanos the current time, in nanoseconds of the same clock
	 * @return false before the first announcement and while the server is lost
	 */
	public boolean isAlive(long nowNanos) {
		return this.known && !this.lost && nowNanos - this.announcedAtNanos < ANNOUNCEMENT_TIMEOUT_NANOS;
	}

}
