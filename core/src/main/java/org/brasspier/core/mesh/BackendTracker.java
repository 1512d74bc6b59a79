package org.brasspier.core.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.brasspier.core.keys.BackendIncarnation;

/**
 * Tracks the incarnations of the backend server on a daemon's instance by the messages
 * that it sends. Messages may be late, come from incarnations that have ended, or come
 * from writers other than the server. None of these may change what is known of the
 * current incarnation. All times are nanoseconds of the same steady clock. Not
 * thread-safe.
 */
public final class BackendTracker {

	/**
	 * A server that does not report its start time is accepted as a new incarnation only
	 * after the known one has been silent for this time, three heartbeats at the usual
	 * interval, or has closed its port.
	 */
	private static final long SILENCE_NANOS = Duration.ofSeconds(3).toNanos();

	/**
	 * A server whose port is closed and that has sent no heartbeat for this time is dead:
	 * a live one sends a heartbeat at least every 1.5 seconds and keeps its port open.
	 * Waiting for its grant to expire instead would leave its keys unserved for 2.5 s
	 * longer.
	 */
	private static final long DEAD_SILENCE_NANOS = Duration.ofMillis(1600).toNanos();

	/** How long every connection attempt must have found the port closed. */
	private static final long DEAD_CLOSED_NANOS = Duration.ofMillis(500).toNanos();

	private final Set<BackendIncarnation> leaving = new HashSet<>();

	// Ids of servers that left before this process knew their incarnation.
	private final Set<String> leavingIds = new HashSet<>();

	private final Map<BackendIncarnation, Long> lastSequences = new HashMap<>();

	// Ids of earlier incarnations. Their heartbeats may still arrive.
	private final Set<String> replacedIds = new HashSet<>();

	private Optional<BackendIncarnation> incarnation = Optional.empty();

	private BackendPhase phase = BackendPhase.ABSENT;

	private boolean seenReady;

	private long leavingSinceNanos;

	private long sequence;

	private long lastHeartbeatNanos;

	private boolean closed;

	private boolean closedSinceHeartbeat;

	private long closedSinceNanos;

	private long closedCheckedNanos;

	/**
	 * Processes a heartbeat.
	 * @param from the incarnation that sent it
	 * @param number its sequence number
	 * @param draining whether the server reports that it is leaving
	 * @param nowNanos the current time
	 * @return false if it is ignored, because it is late or of an incarnation that has
	 * ended
	 */
	public boolean onHeartbeat(BackendIncarnation from, long number, boolean draining, long nowNanos) {
		if (!this.incarnation.equals(Optional.of(from))) {
			if (!startsIncarnation(from, number, nowNanos)) {
				if (draining) {
					this.leaving.add(from);
				}
				return false;
			}
			startIncarnation(from, isLeaving(from, number) || draining);
		}
		else if (number <= this.sequence || this.phase == BackendPhase.DEPARTED) {
			return false;
		}
		this.sequence = number;
		this.lastSequences.put(from, number);
		this.lastHeartbeatNanos = nowNanos;
		this.closed = false;
		this.closedSinceHeartbeat = false;
		// Draining is never reverted: daemons that were told of it must not send work
		// again.
		if (draining) {
			leave(nowNanos);
		}
		return true;
	}

	private void leave(long nowNanos) {
		if (this.phase == BackendPhase.READY) {
			this.phase = BackendPhase.DRAINING;
			this.leavingSinceNanos = nowNanos;
		}
	}

	private void startIncarnation(BackendIncarnation from, boolean draining) {
		this.incarnation.filter((known) -> !known.id().equals(from.id()))
			.ifPresent((known) -> this.replacedIds.add(known.id()));
		this.incarnation = Optional.of(from);
		this.phase = draining ? BackendPhase.DRAINING : BackendPhase.READY;
		this.seenReady = !draining;
	}

	// The first heartbeat of an incarnation shows that it started after any departure
	// under the same id.
	private boolean isLeaving(BackendIncarnation from, long number) {
		boolean first = from.startedMillis() > 0 && number == 1;
		return this.leaving.contains(from) || (this.leavingIds.contains(from.id()) && !first);
	}

	private boolean startsIncarnation(BackendIncarnation from, long number, long nowNanos) {
		if (number <= this.lastSequences.getOrDefault(from, -1L)) {
			return false;
		}
		if (this.incarnation.isEmpty()) {
			return true;
		}
		BackendIncarnation known = this.incarnation.get();
		if (from.startedMillis() > 0 && known.startedMillis() > 0) {
			return from.startedMillis() > known.startedMillis();
		}
		boolean knownEnded = this.closedSinceHeartbeat && !this.replacedIds.contains(from.id());
		return !from.id().equals(known.id()) && (knownEnded || nowNanos - this.lastHeartbeatNanos >= SILENCE_NANOS);
	}

	/**
	 * Processes the departure of a server that may not have reported draining before. The
	 * id of an unknown server is remembered, since an earlier heartbeat of it may still
	 * arrive.
	 * @param id the server's id
	 * @param nowNanos the current time
	 * @return false if it is not the current server
	 */
	public boolean onDeparture(String id, long nowNanos) {
		if (this.incarnation.filter((known) -> known.id().equals(id)).isEmpty()) {
			this.leavingIds.add(id);
			return false;
		}
		this.incarnation.ifPresent(this.leaving::add);
		leave(nowNanos);
		this.phase = BackendPhase.DEPARTED;
		return true;
	}

	/**
	 * Processes an answer in which a server says that it is leaving.
	 * @param from the server's incarnation
	 * @param nowNanos the current time
	 */
	public void onLeavingAnnounced(BackendIncarnation from, long nowNanos) {
		this.leaving.add(from);
		if (this.incarnation.equals(Optional.of(from))) {
			leave(nowNanos);
		}
	}

	/**
	 * Restores that an earlier process of this daemon acknowledged a server's departure.
	 * @param left the server's incarnation
	 */
	public void restoreDeparture(BackendIncarnation left) {
		this.leaving.add(left);
		if (this.phase == BackendPhase.READY && this.incarnation.equals(Optional.of(left))) {
			startIncarnation(left, true);
		}
	}

	/**
	 * Returns whether this process has seen the current incarnation in the state ready.
	 * @return false if it may have been draining for a long time
	 */
	public boolean seenReady() {
		return this.seenReady;
	}

	/**
	 * Returns how long the current incarnation has been leaving, from the first message
	 * or answer that said so.
	 * @param nowNanos the current time
	 * @return empty if it is not leaving, or if this process has never seen it ready and
	 * so can't tell when it began to leave
	 */
	public Optional<Duration> leavingFor(long nowNanos) {
		boolean leaves = this.phase == BackendPhase.DRAINING || this.phase == BackendPhase.DEPARTED;
		return (leaves && this.seenReady) ? Optional.of(Duration.ofNanos(nowNanos - this.leavingSinceNanos))
				: Optional.empty();
	}

	/**
	 * Returns the current incarnation, the one that was last heard from.
	 * @return empty if no server was ever heard from
	 */
	public Optional<BackendIncarnation> incarnation() {
		return this.incarnation;
	}

	/**
	 * Returns the sequence number of the latest accepted heartbeat of that incarnation.
	 * @return the number; 0 if none was accepted
	 */
	public long sequence() {
		return this.sequence;
	}

	/**
	 * Returns the phase of the current incarnation.
	 * @return the phase
	 */
	public BackendPhase phase() {
		return this.phase;
	}

	/**
	 * Records the result of a connection attempt to the server.
	 * @param open whether the port accepted the connection
	 * @param nowNanos the current time
	 */
	public void onConnectionAttempt(boolean open, long nowNanos) {
		if (!open && !this.closed) {
			this.closedSinceNanos = nowNanos;
		}
		this.closed = !open;
		this.closedSinceHeartbeat |= !open;
		this.closedCheckedNanos = nowNanos;
	}

	/**
	 * Returns whether the server is certainly dead, so that it no longer holds any keys.
	 * @param nowNanos the current time
	 * @return true if its port stays closed and it sends no heartbeats
	 */
	public boolean isDead(long nowNanos) {
		return this.closed && this.closedCheckedNanos - this.closedSinceNanos >= DEAD_CLOSED_NANOS
				&& this.closedCheckedNanos - this.lastHeartbeatNanos > 0 && silentNanos(nowNanos) >= DEAD_SILENCE_NANOS;
	}

	/**
	 * Returns the time since the latest accepted heartbeat.
	 * @param nowNanos the current time
	 * @return nanoseconds
	 */
	public long silentNanos(long nowNanos) {
		return nowNanos - this.lastHeartbeatNanos;
	}

	/**
	 * The phase of a backend server.
	 */
	public enum BackendPhase {

		/** No heartbeat was accepted yet. */
		ABSENT,
		/** It accepts requests. */
		READY,
		/** It finishes its requests and accepts no new ones. */
		DRAINING,
		/** It has announced its departure. */
		DEPARTED

	}

}
