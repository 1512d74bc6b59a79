package org.brasspier.core.mesh;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import com.dynatrace.hash4j.hashing.Hashing;
import org.brasspier.core.InstanceId;

/**
 * Whether a daemon hears enough from the readers that it follows, or has to follow the
 * store itself. It is asked for well before a change must be in force everywhere, and
 * daemons that lose the same readers do not all turn to the store at the same moment. Not
 * thread-safe.
 */
public final class FollowedReaders {

	/** How often a reader is asked; news comes without being asked for. */
	public static final Duration POLL_INTERVAL = Duration.ofMillis(400);

	/** Two askings and a way. */
	private static final long HEARD_NANOS = Duration.ofMillis(900).toNanos();

	/** Over this time daemons that lost the same readers turn to the store. */
	private static final long SPREAD_NANOS = Duration.ofMillis(250).toNanos();

	private final long patienceNanos;

	private final Map<InstanceId, Long> current = new HashMap<>();

	/**
	 * Creates the state of a daemon that has heard nothing.
	 * @param self the daemon's instance
	 */
	public FollowedReaders(InstanceId self) {
		long spread = Math.floorMod(Hashing.komihash5_0().hashCharsToLong(self.value()), SPREAD_NANOS);
		this.patienceNanos = HEARD_NANOS + spread;
	}

	/**
	 * Takes an answer or news of a reader.
	 * @param reader the reader
	 * @param readsStore whether the store answers it
	 * @param now the time
	 * @return true if the store answered the reader before and no longer does, so that
	 * others may be waiting in vain as well
	 */
	public boolean onReport(InstanceId reader, boolean readsStore, long now) {
		if (readsStore) {
			this.current.put(reader, now);
			return false;
		}
		return this.current.remove(reader) != null;
	}

	/**
	 * Takes that a reader can't be reached any more.
	 * @param reader the reader
	 */
	public void onUnreachable(InstanceId reader) {
		this.current.remove(reader);
	}

	/**
	 * Whether news of the store reaches this daemon.
	 * @param followed the readers that it follows now
	 * @param now the time
	 * @return false if it has to follow the store itself
	 */
	public boolean receivesUpdates(Collection<InstanceId> followed, long now) {
		this.current.keySet().retainAll(followed);
		return this.current.values().stream().anyMatch((heard) -> now - heard < this.patienceNanos);
	}

}
