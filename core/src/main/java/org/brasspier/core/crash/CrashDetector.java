package org.brasspier.core.crash;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.brasspier.core.keys.BackendIncarnation;

/**
 * Finds out whether the backend server beside a daemon has crashed, and under which
 * requests. A connection that ends without an answer says nothing yet: networks cut
 * connections, and servers cut answers short. The server has crashed if nothing listens
 * at its address just after, or another life of it begins; it lives if it answers what
 * was sent later. All times are nanoseconds of one steady clock. Not thread-safe.
 */
public final class CrashDetector {

	/** A server that crashed is back, or found to be gone, within this time. */
	private static final long REMEMBERED_NANOS = Duration.ofSeconds(10).toNanos();

	// By request, when its connection ended.
	private final Map<Long, Long> broken = new LinkedHashMap<>();

	private Optional<BackendIncarnation> life = Optional.empty();

	/**
	 * Takes that a connection ended while the server had a request of it.
	 * @param of the server's life
	 * @param request the request's fingerprint
	 * @param now the time
	 */
	public void onConnectionLost(BackendIncarnation of, long request, long now) {
		if (!this.life.equals(Optional.of(of))) {
			this.broken.clear();
			this.life = Optional.of(of);
		}
		if (this.broken.size() < CrashReport.MAX_REQUESTS) {
			this.broken.put(request, now);
		}
	}

	/**
	 * Takes that the server answered.
	 * @param of the server's life
	 * @param sentNanos when it was sent what it answered
	 */
	public void onAnswer(BackendIncarnation of, long sentNanos) {
		if (this.life.equals(Optional.of(of))) {
			this.broken.values().removeIf((broke) -> broke - sentNanos < 0);
		}
	}

	/**
	 * Whether a connection has ended and it is not known yet why.
	 * @return true if so
	 */
	public boolean hasUnexplainedLosses() {
		return !this.broken.isEmpty();
	}

	/**
	 * Takes that nothing listens at the server's address, or that another life has begun.
	 * @param of the life that is over
	 * @param now the time
	 * @return what it ran when it crashed; empty if nothing was cut off lately
	 */
	public Optional<CrashReport> onServerEnded(BackendIncarnation of, long now) {
		if (!this.life.equals(Optional.of(of))) {
			return Optional.empty();
		}
		this.broken.values().removeIf((broke) -> now - broke >= REMEMBERED_NANOS);
		Optional<CrashReport> report = this.broken.isEmpty() ? Optional.empty()
				: Optional.of(new CrashReport(of, this.broken.keySet()));
		this.broken.clear();
		return report;
	}

}
