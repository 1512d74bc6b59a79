package org.brasspier.core.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.brasspier.core.InstanceId;

/**
 * The instances that lately had no backend server for a request: lost for good, their
 * address in use by another service, or their backend server away. Nobody takes such an
 * instance off the list while the store is away, and one that is lost for good never does
 * it itself. Without this, requests for a service of three servers met the two that were
 * gone and were refused, though the third had room. Not thread-safe.
 */
public final class InstanceBackoff {

	/**
	 * Several requests' way there and back: a server that restarts is missed for long.
	 */
	private static final long FIRST_NANOS = Duration.ofMillis(200).toNanos();

	/** So long a backend server that is back may wait for its first request from here. */
	private static final long LONGEST_NANOS = Duration.ofSeconds(2).toNanos();

	private final Map<InstanceId, Absence> absences = new HashMap<>();

	/**
	 * Takes that an instance had no backend server for a request.
	 * @param instance the instance
	 * @param now the time, in nanoseconds
	 */
	public void recordFailure(InstanceId instance, long now) {
		Absence before = this.absences.get(instance);
		long pause = (before != null) ? Math.min(LONGEST_NANOS, before.pauseNanos * 2) : FIRST_NANOS;
		this.absences.put(instance, new Absence(pause, now + pause));
	}

	/**
	 * Takes that an instance's backend server was there.
	 * @param instance the instance
	 */
	public void recordSuccess(InstanceId instance) {
		this.absences.remove(instance);
	}

	/**
	 * Whether requests are better sent elsewhere just now.
	 * @param instance the instance
	 * @param now the time, in nanoseconds
	 * @return false once it is time to try it again
	 */
	public boolean shouldAvoid(InstanceId instance, long now) {
		Absence absence = this.absences.get(instance);
		return absence != null && now - absence.untilNanos < 0;
	}

	private record Absence(long pauseNanos, long untilNanos) {
	}

}
