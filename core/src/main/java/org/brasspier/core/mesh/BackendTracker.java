package org.brasspier.core.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.brasspier.core.keys.BackendIncarnation;

/**
 * Follows the lives of the one backend server beside a daemon by what it says. Messages
 * come late, from lives that are over, and from writers that aren't the server at all;
 * none of them may change what is known of the life that goes on. All times are
 * nanoseconds of one steady clock. Not thread-safe.
 */
public final class BackendTracker {

	/**
	 * A server that gives no time of its start is taken for a new life only once the
	 * known one has been silent for so long: three heartbeats at the usual interval.
	 */
	private static final long SILENT_NANOS = Duration.ofSeconds(3).toNanos();

	/**
	 * A server whose port is closed and that has sent no heartbeat for so long is dead:
	 * one that lives sends one each 1.5 seconds at the latest, and has its port open.
	 * Waiting for its grant to run out instead leaves its keys unserved for 2.5 s longer.
	 */
	private static final long DEAD_SILENT_NANOS = Duration.ofMillis(1600).toNanos();

	/** So long its port must have been found closed, each time that it was tried. */
	private static final long DEAD_CLOSED_NANOS = Duration.ofMillis(500).toNanos();

	private final Set<BackendIncarnation> leaving = new HashSet<>();

	// Of servers that left before this process heard of their life.
	private final Set<String> leavingIds = new HashSet<>();

	private final Map<BackendIncarnation, Long> lastNumbers = new HashMap<>();

	private Optional<BackendIncarnation> incarnation = Optional.empty();

	private BackendPhase phase = BackendPhase.ABSENT;

	private boolean seenReady;

	private long sequence;

	private long heardNanos;

	private boolean closed;

	private long closedSinceNanos;

	private long closedSeenNanos;

	/**
	 * Takes a heartbeat.
	 * @param from the life that sent it
	 * @param number its number
	 * @param draining whether the server says that it leaves
	 * @param now the time
	 * @return false if it tells nothing new: it is late, or of a life that is over
	 */
	public boolean onHeartbeat(BackendIncarnation from, long number, boolean draining, long now) {
		if (!this.incarnation.equals(Optional.of(from))) {
			if (!begins(from, number, now)) {
				if (draining) {
					this.leaving.add(from);
				}
				return false;
			}
			begin(from, leaves(from, number) || draining);
		}
		else if (number <= this.sequence || this.phase == BackendPhase.DEPARTED) {
			return false;
		}
		this.sequence = number;
		this.lastNumbers.put(from, number);
		this.heardNanos = now;
		this.closed = false;
		// Leaving is never taken back: who was told of it may not be sent work again.
		if (draining && this.phase == BackendPhase.READY) {
			this.phase = BackendPhase.DRAINING;
		}
		return true;
	}

	private void begin(BackendIncarnation from, boolean leaves) {
		this.incarnation = Optional.of(from);
		this.phase = leaves ? BackendPhase.DRAINING : BackendPhase.READY;
		this.seenReady = !leaves;
	}

	// A life's first heartbeat shows that it began after whatever left under its id.
	private boolean leaves(BackendIncarnation from, long number) {
		boolean first = from.startedMillis() > 0 && number == 1;
		return this.leaving.contains(from) || (this.leavingIds.contains(from.id()) && !first);
	}

	private boolean begins(BackendIncarnation from, long number, long now) {
		if (number <= this.lastNumbers.getOrDefault(from, -1L)) {
			return false;
		}
		if (this.incarnation.isEmpty()) {
			return true;
		}
		BackendIncarnation known = this.incarnation.get();
		if (from.startedMillis() > 0 && known.startedMillis() > 0) {
			return from.startedMillis() > known.startedMillis();
		}
		return !from.id().equals(known.id()) && now - this.heardNanos >= SILENT_NANOS;
	}

	/**
	 * Takes that a server leaves without having said so before. One that isn't known yet
	 * is remembered: a heartbeat that it sent earlier may still come.
	 * @param id its id
	 * @return false if it isn't the known one
	 */
	public boolean onDeparture(String id) {
		if (this.incarnation.filter((known) -> known.id().equals(id)).isEmpty()) {
			this.leavingIds.add(id);
			return false;
		}
		this.incarnation.ifPresent(this.leaving::add);
		this.phase = BackendPhase.DEPARTED;
		return true;
	}

	/**
	 * Takes that an earlier process has acknowledged a server's leaving.
	 * @param left the server's life
	 */
	public void restoreDeparture(BackendIncarnation left) {
		this.leaving.add(left);
		if (this.phase == BackendPhase.READY && this.incarnation.equals(Optional.of(left))) {
			begin(left, true);
		}
	}

	/**
	 * Whether this process has known the present life before it began to leave.
	 * @return false if it may have been leaving for long
	 */
	public boolean seenReady() {
		return this.seenReady;
	}

	/**
	 * The life that was last heard of.
	 * @return empty if none ever was
	 */
	public Optional<BackendIncarnation> incarnation() {
		return this.incarnation;
	}

	/**
	 * The number of the newest heartbeat of that life.
	 * @return the number; 0 if none was taken
	 */
	public long sequence() {
		return this.sequence;
	}

	/**
	 * What it is at.
	 * @return the phase
	 */
	public BackendPhase phase() {
		return this.phase;
	}

	/**
	 * Takes that a connection to the server was tried.
	 * @param open whether anything listens there
	 * @param now the time
	 */
	public void onConnectionAttempt(boolean open, long now) {
		if (!open && !this.closed) {
			this.closedSinceNanos = now;
		}
		this.closed = !open;
		this.closedSeenNanos = now;
	}

	/**
	 * Whether the server is certainly dead, so that it holds nothing any more.
	 * @param now the time
	 * @return true if its port stays closed and it is silent
	 */
	public boolean isDead(long now) {
		return this.closed && this.closedSeenNanos - this.closedSinceNanos >= DEAD_CLOSED_NANOS
				&& this.closedSeenNanos - this.heardNanos > 0 && silentNanos(now) >= DEAD_SILENT_NANOS;
	}

	/**
	 * How long ago it was last heard.
	 * @param now the time
	 * @return nanoseconds
	 */
	public long silentNanos(long now) {
		return now - this.heardNanos;
	}

	/**
	 * What a backend server is at.
	 */
	public enum BackendPhase {

		/** Nothing was heard yet. */
		ABSENT,
		/** It takes work. */
		READY,
		/** It serves what it has and takes no more. */
		DRAINING,
		/** It has said goodbye. */
		DEPARTED

	}

}
