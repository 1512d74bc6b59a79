package org.brasspier.core.crash;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.brasspier.core.keys.BackendIncarnation;

/**
 * Detects whether the backend server on a daemon's instance has crashed, and which
 * requests it was running. A connection that ends without an answer proves nothing by
 * itself: networks cut connections, and servers truncate answers. The server has crashed
 * if nothing listens on its address shortly afterwards, or if a new incarnation of it
 * starts; it is alive if it answers a request that was sent later. All times are
 * nanoseconds of the same steady clock. Not thread-safe.
 */
public final class CrashDetector {

	/**
	 * Connections that ended longer ago are not attributed to a crash: within this time,
	 * a crashed server has restarted or has been found to be gone.
	 */
	private static final long RETENTION_NANOS = Duration.ofSeconds(10).toNanos();

	// When the connection ended, by the fingerprint of its request.
	private final Map<Long, Long> lostNanos = new LinkedHashMap<>();

	private Optional<BackendIncarnation> incarnation = Optional.empty();

	/**
	 * Records that a connection ended while the server was handling its request.
	 * @param serverIncarnation the incarnation of the server
	 * @param requestFingerprint the request's fingerprint
	 * @param nowNanos the current time
	 */
	public void onConnectionLost(BackendIncarnation serverIncarnation, long requestFingerprint, long nowNanos) {
		if (!this.incarnation.equals(Optional.of(serverIncarnation))) {
			this.lostNanos.clear();
			this.incarnation = Optional.of(serverIncarnation);
		}
		if (this.lostNanos.size() < CrashReport.MAX_REQUESTS) {
			this.lostNanos.put(requestFingerprint, nowNanos);
		}
	}

	/**
	 * Records that the server answered.
	 * @param serverIncarnation the incarnation of the server
	 * @param sentNanos when the answered request was sent
	 */
	public void onAnswer(BackendIncarnation serverIncarnation, long sentNanos) {
		if (this.incarnation.equals(Optional.of(serverIncarnation))) {
			this.lostNanos.values().removeIf((lost) -> lost - sentNanos < 0);
		}
	}

	/**
	 * Returns whether a connection has ended and it is not known yet whether the server
	 * crashed.
	 * @return true if there is such a connection
	 */
	public boolean hasUnexplainedLosses() {
		return !this.lostNanos.isEmpty();
	}

	/**
	 * Records that nothing listens on the server's address, or that a new incarnation has
	 * started.
	 * @param serverIncarnation the incarnation that has ended
	 * @param nowNanos the current time
	 * @return the requests that it was running when it crashed; empty if no connection
	 * ended recently
	 */
	public Optional<CrashReport> onServerEnded(BackendIncarnation serverIncarnation, long nowNanos) {
		if (!this.incarnation.equals(Optional.of(serverIncarnation))) {
			return Optional.empty();
		}
		this.lostNanos.values().removeIf((lost) -> nowNanos - lost >= RETENTION_NANOS);
		Optional<CrashReport> report = this.lostNanos.isEmpty() ? Optional.empty()
				: Optional.of(new CrashReport(serverIncarnation, this.lostNanos.keySet()));
		this.lostNanos.clear();
		return report;
	}

}
