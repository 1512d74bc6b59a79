package org.brasspier.core.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.brasspier.core.InstanceId;

/**
 * Backs off from instances that recently had no backend server for a request: the
 * instance is lost for good, its address is in use by another service, or its backend
 * server is down. Such an instance stays in the directory while the store is unavailable,
 * and one that is lost for good never removes its own entry. Without this backoff,
 * requests for a service with three servers were sent to the two that were gone and then
 * refused, although the third had capacity. Not thread-safe.
 */
public final class InstanceBackoff {

	/**
	 * Several round trips; a server that restarts is down for longer than that.
	 */
	private static final long MIN_BACKOFF_NANOS = Duration.ofMillis(200).toNanos();

	/**
	 * Bounds how long a recovered backend server waits for its first request from this
	 * daemon.
	 */
	private static final long MAX_BACKOFF_NANOS = Duration.ofSeconds(2).toNanos();

	private final Map<InstanceId, Backoff> backoffs = new HashMap<>();

	/**
	 * Records that an instance had no backend server for a request. The backoff doubles
	 * with each consecutive failure.
	 * @param instance the instance
	 * @param nowNanos the current time, in nanoseconds of the steady clock
	 */
	public void recordFailure(InstanceId instance, long nowNanos) {
		Backoff before = this.backoffs.get(instance);
		long backoffNanos = (before != null) ? Math.min(MAX_BACKOFF_NANOS, before.backoffNanos * 2) : MIN_BACKOFF_NANOS;
		this.backoffs.put(instance, new Backoff(backoffNanos, nowNanos + backoffNanos));
	}

	/**
	 * Records that an instance's backend server was there, which ends the backoff.
	 * @param instance the instance
	 */
	public void recordSuccess(InstanceId instance) {
		this.backoffs.remove(instance);
	}

	/**
	 * Returns whether requests should go to other instances for now.
	 * @param instance the instance
	 * @param nowNanos the current time, in nanoseconds of the steady clock
	 * @return false if there is no backoff or it has expired
	 */
	public boolean shouldAvoid(InstanceId instance, long nowNanos) {
		Backoff backoff = this.backoffs.get(instance);
		return backoff != null && nowNanos - backoff.untilNanos < 0;
	}

	private record Backoff(long backoffNanos, long untilNanos) {
	}

}
