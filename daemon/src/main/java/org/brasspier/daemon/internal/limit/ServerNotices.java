package org.brasspier.daemon.internal.limit;

import java.time.Duration;
import java.util.OptionalDouble;

import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.limit.AnnouncedLimit;
import org.brasspier.daemon.mesh.ServerNotice;

/**
 * Applies what the local backend server states about itself in its answers. Not
 * thread-safe; confined to the request thread.
 */
public final class ServerNotices {

	private static final long MALFORMED_INTERVAL_NANOS = Duration.ofSeconds(10).toNanos();

	/** A change of the limit by less is not reported. */
	private static final double REPORTED_CHANGE = 0.1;

	private final Listener listener;

	private final AnnouncedLimit limit = new AnnouncedLimit(System.nanoTime());

	private OptionalDouble reported = OptionalDouble.empty();

	private long malformedCount;

	private long refusedCount;

	private long malformedReportedNanos = System.nanoTime() - MALFORMED_INTERVAL_NANOS;

	/**
	 * Creates an instance without a limit.
	 * @param listener is told of changes
	 */
	public ServerNotices(Listener listener) {
		this.listener = listener;
	}

	/**
	 * Returns the limit of the server.
	 * @return the limit, which changes with the answers
	 */
	public AnnouncedLimit limit() {
		return this.limit;
	}

	/**
	 * Applies a notice.
	 * @param notice the notice
	 * @param server the server that answered
	 * @param sentNanos when the answered request was sent, nanoseconds of the steady
	 * clock
	 */
	public void onAnswer(ServerNotice notice, BackendIncarnation server, long sentNanos) {
		if (notice.malformed().isPresent()) {
			recordMalformed(notice.malformed().get());
		}
		else {
			this.limit.onAnswer(notice.perSecond(), sentNanos, System.nanoTime());
			reportLimit();
		}
		if (notice.leaving()) {
			this.listener.leaving(server);
		}
	}

	/**
	 * Applies the limit that an earlier process of this instance knew last.
	 * @param perSecond the requests per second
	 */
	public void restore(double perSecond) {
		this.limit.restore(perSecond, System.nanoTime());
		reportLimit();
	}

	/**
	 * Removes the limit, because the server that named it has ended.
	 */
	public void onServerEnded() {
		this.limit.onServerEnded(System.nanoTime());
		reportLimit();
	}

	/**
	 * Returns the number of limits that could not be read.
	 * @return the number since the start
	 */
	public long malformedCount() {
		return this.malformedCount;
	}

	/**
	 * Records that a request was refused for lack of capacity.
	 */
	public void onRefused() {
		if (!this.limit.mayStart(System.nanoTime())) {
			this.refusedCount++;
		}
	}

	/**
	 * Returns the number of requests that were refused while the limit was used up.
	 * @return the number since the start
	 */
	public long refusedCount() {
		return this.refusedCount;
	}

	private void recordMalformed(String value) {
		this.malformedCount++;
		long now = System.nanoTime();
		if (now - this.malformedReportedNanos >= MALFORMED_INTERVAL_NANOS) {
			this.malformedReportedNanos = now;
			this.listener.malformedLimit(value);
		}
	}

	private void reportLimit() {
		OptionalDouble current = this.limit.perSecond();
		boolean changed = current.isPresent() != this.reported.isPresent() || current.isPresent() && Math
			.abs(current.getAsDouble() - this.reported.getAsDouble()) > REPORTED_CHANGE * this.reported.getAsDouble();
		if (changed) {
			this.reported = current;
			this.listener.limitChanged(current);
		}
	}

	/**
	 * Is told of changes.
	 */
	public interface Listener {

		/**
		 * The limit has changed noticeably.
		 * @param perSecond the requests per second; empty if there is no limit any more
		 */
		void limitChanged(OptionalDouble perSecond);

		/**
		 * An answer says that the server is leaving.
		 * @param server the server
		 */
		void leaving(BackendIncarnation server);

		/**
		 * An answer names a limit that can't be read.
		 * @param value the text
		 */
		void malformedLimit(String value);

	}

}
