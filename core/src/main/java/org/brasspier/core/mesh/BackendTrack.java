package org.brasspier.core.mesh;

import java.time.Duration;
import java.util.Optional;

import org.brasspier.core.keys.BackendLife;

/**
 * Follows the lives of the one backend server beside a daemon by what it says. Messages
 * come late, from lives that are over, and from writers that aren't the server at all;
 * none of them may change what is known of the life that goes on. All times are
 * nanoseconds of one steady clock. Not thread-safe.
 */
public final class BackendTrack {

	/**
	 * A server that gives no time of its start is taken for a new life only once the
	 * known one has been silent for so long: three heartbeats at the usual interval.
	 */
	private static final long SILENT_NANOS = Duration.ofSeconds(3).toNanos();

	private Optional<BackendLife> life = Optional.empty();

	private BackendPhase phase = BackendPhase.ABSENT;

	private long sequence;

	private long heardNanos;

	/**
	 * Takes a heartbeat.
	 * @param from the life that sent it
	 * @param number its number
	 * @param draining whether the server says that it leaves
	 * @param now the time
	 * @return false if it tells nothing new: it is late, or of a life that is over
	 */
	public boolean beat(BackendLife from, long number, boolean draining, long now) {
		if (!this.life.equals(Optional.of(from))) {
			if (!begins(from, now)) {
				return false;
			}
			this.life = Optional.of(from);
			this.phase = BackendPhase.READY;
		}
		else if (number <= this.sequence || this.phase == BackendPhase.DEPARTED) {
			return false;
		}
		this.sequence = number;
		this.heardNanos = now;
		// Leaving is never taken back: who was told of it may not be sent work again.
		if (draining && this.phase == BackendPhase.READY) {
			this.phase = BackendPhase.DRAINING;
		}
		return true;
	}

	private boolean begins(BackendLife from, long now) {
		if (this.life.isEmpty()) {
			return true;
		}
		BackendLife known = this.life.get();
		if (from.bornMillis() > 0 && known.bornMillis() > 0) {
			return from.bornMillis() > known.bornMillis();
		}
		return !from.id().equals(known.id()) && now - this.heardNanos >= SILENT_NANOS;
	}

	/**
	 * Takes that a server leaves without having said so before.
	 * @param id its id
	 * @return false if it isn't the known one
	 */
	public boolean departed(String id) {
		if (this.life.filter((known) -> known.id().equals(id)).isEmpty()) {
			return false;
		}
		this.phase = BackendPhase.DEPARTED;
		return true;
	}

	/**
	 * The life that was last heard of.
	 * @return empty if none ever was
	 */
	public Optional<BackendLife> life() {
		return this.life;
	}

	/**
	 * What it is at.
	 * @return the phase
	 */
	public BackendPhase phase() {
		return this.phase;
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
