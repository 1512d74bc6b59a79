package org.brasspier.core.request;

/**
 * Whether the backend server beside a daemon is there, from what was seen of it.
 *
 * <p>
 * Made for servers whose health lags or misleads: a refused connection is proof of a
 * loss, silence is taken for one only if nothing else was heard, and an answered order
 * outweighs a silent probe. A frozen server accepts connections and says nothing, so two
 * silent probes in a row must pass; one alone may be a long pause of its memory
 * management. Not thread-safe.
 */
public final class BackendLiveness {

	/** Silent probes in a row from which on the server counts as frozen. */
	static final int SILENT_PROBES = 2;

	/** An announcement comes each second; three missing ones are no accident. */
	static final long ANNOUNCEMENT_NANOS = 3_500_000_000L;

	private boolean known;

	private boolean lost;

	private boolean gone;

	private int silentProbes;

	private long announcedAtNanos;

	/**
	 * It announced itself.
	 * @param nowNanos the time on a monotonic clock
	 */
	public void onAnnouncement(long nowNanos) {
		this.known = true;
		this.announcedAtNanos = nowNanos;
		onAnswer();
	}

	/**
	 * It answered a probe or an order.
	 */
	public void onAnswer() {
		this.silentProbes = 0;
		this.lost = false;
		this.gone = false;
	}

	/**
	 * A probe got no answer in time.
	 */
	public void onProbeTimeout() {
		this.silentProbes++;
		this.lost |= this.silentProbes >= SILENT_PROBES;
	}

	/**
	 * Its port refused a connection, so nobody listens there.
	 */
	public void onConnectionRefused() {
		this.lost = true;
		this.gone = true;
	}

	/**
	 * Whether its process is known to be gone, not only silent.
	 * @return true from a refused connection until it is heard of again
	 */
	public boolean isGone() {
		return this.gone;
	}

	/**
	 * Whether orders may be handed to it.
	 * @param nowNanos the time on the same clock
	 * @return false before its first announcement, and while it is lost
	 */
	public boolean isAlive(long nowNanos) {
		return this.known && !this.lost && nowNanos - this.announcedAtNanos < ANNOUNCEMENT_NANOS;
	}

}
