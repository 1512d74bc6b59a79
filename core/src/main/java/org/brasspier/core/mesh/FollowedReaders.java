package org.brasspier.core.mesh;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import com.dynatrace.hash4j.hashing.Hashing;
import org.brasspier.core.InstanceId;

/**
 * Decides whether a daemon still receives updates from the readers that it follows, or
 * has to follow the store itself. It falls back to the store well before the time by
 * which a change must be in force everywhere. Daemons that lose the same readers do not
 * all turn to the store at the same moment. Not thread-safe.
 */
public final class FollowedReaders {

	/** How often a reader is polled; it sends changes without being polled. */
	public static final Duration POLL_INTERVAL = Duration.ofMillis(400);

	/** Two polls and the network delay of a message. */
	private static final long REPORT_TIMEOUT_NANOS = Duration.ofMillis(900).toNanos();

	/**
	 * Daemons that lost the same readers spread their fallback to the store over this
	 * time.
	 */
	private static final long SPREAD_NANOS = Duration.ofMillis(250).toNanos();

	private final long timeoutNanos;

	private final Map<InstanceId, Long> lastReportNanos = new HashMap<>();

	/**
	 * Creates the state of a daemon that has received nothing.
	 * @param self the daemon's instance
	 */
	public FollowedReaders(InstanceId self) {
		long spread = Math.floorMod(Hashing.komihash5_0().hashCharsToLong(self.value()), SPREAD_NANOS);
		this.timeoutNanos = REPORT_TIMEOUT_NANOS + spread;
	}

	/**
	 * Records an answer or an update from a reader.
	 * @param reader the reader
	 * @param readsStore whether the store answers the reader
	 * @param nowNanos the current time, in nanoseconds of the steady clock
	 * @return true if the store answered the reader before and no longer does, in which
	 * case calls of other daemons may be hanging as well
	 */
	public boolean onReport(InstanceId reader, boolean readsStore, long nowNanos) {
		if (readsStore) {
			this.lastReportNanos.put(reader, nowNanos);
			return false;
		}
		return this.lastReportNanos.remove(reader) != null;
	}

	/**
	 * Records that a reader can no longer be reached.
	 * @param reader the reader
	 */
	public void onUnreachable(InstanceId reader) {
		this.lastReportNanos.remove(reader);
	}

	/**
	 * Returns whether changes in the store reach this daemon.
	 * @param followed the readers that it follows now
	 * @param nowNanos the current time, in nanoseconds of the steady clock
	 * @return false if it has to follow the store itself
	 */
	public boolean receivesUpdates(Collection<InstanceId> followed, long nowNanos) {
		this.lastReportNanos.keySet().retainAll(followed);
		return this.lastReportNanos.values()
			.stream()
			.anyMatch((reportNanos) -> nowNanos - reportNanos < this.timeoutNanos);
	}

}
