package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.keys.GrantAnswer;
import org.brasspier.core.mesh.BackendTracker;
import org.brasspier.core.mesh.BackendTracker.BackendPhase;
import org.brasspier.daemon.mesh.BackendMessage;
import org.brasspier.daemon.mesh.Heartbeat;
import org.brasspier.daemon.mesh.MeshSettings;

/**
 * What is known of the backend server beside this daemon, from its heartbeats. An
 * acknowledged leaving binds from that moment on. Belongs to the thread of requests.
 */
final class BackendRegistration {

	private final MeshSettings.Backend backend;

	private final MeshLog log;

	private final BackendTracker track = new BackendTracker();

	private final List<Runnable> listeners = new ArrayList<>();

	private GrantSource grants = (beat, now) -> Optional.empty();

	private int slots = 1;

	private long heardNanos;

	private long leavingSinceNanos;

	private long coldUntilNanos;

	BackendRegistration(MeshSettings.Backend backend, MeshLog log) {
		this.backend = backend;
		this.log = log;
	}

	void setGrantSource(GrantSource source) {
		this.grants = source;
	}

	// Called after each change of life, phase or slots.
	void addListener(Runnable listener) {
		this.listeners.add(listener);
	}

	Either<Failure, Optional<GrantAnswer>> receive(BackendMessage message) {
		long now = System.nanoTime();
		return switch (message) {
			case BackendMessage.HeartbeatMessage(Heartbeat beat) -> beat(beat, now);
			case BackendMessage.Departure(String id) -> departed(id, now);
		};
	}

	private Either<Failure, Optional<GrantAnswer>> beat(Heartbeat beat, long now) {
		if (!beat.service().equals(this.backend.service()) || !beat.address().equals(this.backend.address())) {
			String why = "it names service %s at %s, beside this daemon is %s at %s".formatted(beat.service(),
					beat.address(), this.backend.service(), this.backend.address());
			this.log.record(MeshEvent.BACKEND_MESSAGE_IGNORED, "life", beat.holds().incarnation(), "reason", why);
			return Either.left(Failure.of(ErrorKind.BAD_REQUEST, why));
		}
		State before = state();
		if (!this.track.onHeartbeat(beat.holds().incarnation(), beat.sequence(), beat.draining(), now)) {
			this.log.record(MeshEvent.BACKEND_MESSAGE_IGNORED, "life", beat.holds().incarnation(), "sequence",
					beat.sequence(), "reason", "it is late");
			return Either.right(Optional.empty());
		}
		this.slots = beat.slots();
		this.heardNanos = now;
		this.coldUntilNanos = now + beat.coldStartRemaining().toNanos();
		changed(before, now);
		return Either.right(this.grants.answer(beat, now));
	}

	private Either<Failure, Optional<GrantAnswer>> departed(String id, long now) {
		State before = state();
		if (!this.track.onDeparture(id)) {
			this.log.record(MeshEvent.BACKEND_MESSAGE_IGNORED, "life", id, "reason", "another life goes on");
		}
		changed(before, now);
		return Either.right(Optional.empty());
	}

	/**
	 * Takes that an earlier process of this instance has acknowledged a server's leaving.
	 * @param life the server's life
	 */
	void restoreDeparture(BackendIncarnation life) {
		State before = state();
		this.track.restoreDeparture(life);
		changed(before, System.nanoTime());
	}

	private void changed(State before, long now) {
		State after = state();
		if (before.equals(after)) {
			return;
		}
		if (!ready() && !before.phase.equals(after.phase)) {
			this.leavingSinceNanos = now;
		}
		this.log.record(MeshEvent.BACKEND_CHANGED, "life", after.life.map(String::valueOf).orElse(""), "phase",
				after.phase, "before", before.phase, "slots", after.slots, "sequence", this.track.sequence());
		this.listeners.forEach(Runnable::run);
	}

	private State state() {
		return new State(this.track.incarnation(), this.track.phase(), this.slots);
	}

	Optional<BackendIncarnation> incarnation() {
		return this.track.incarnation();
	}

	BackendPhase phase() {
		return this.track.phase();
	}

	boolean ready() {
		return this.track.phase() == BackendPhase.READY;
	}

	int slots() {
		return this.slots;
	}

	/**
	 * How long until the server's next heartbeat may be expected, with which it gets
	 * keys.
	 * @param now the time
	 * @return the time; zero if it is overdue, so that nobody knows
	 */
	Duration untilNextHeartbeat(long now) {
		long left = this.heardNanos + this.backend.heartbeatInterval().toNanos() - now;
		return Duration.ofNanos(Math.max(0, left));
	}

	boolean cold(long now) {
		return now < this.coldUntilNanos;
	}

	// Takes that a connection to the server was tried.
	void onConnectionAttempt(boolean open) {
		this.track.onConnectionAttempt(open, System.nanoTime());
	}

	boolean isDead() {
		return this.track.isDead(System.nanoTime());
	}

	// As far as this process knows: one that found the server leaving can't tell.
	Optional<Duration> drainingFor(long now) {
		return this.track.seenReady() ? Optional.of(Duration.ofNanos(now - this.leavingSinceNanos)) : Optional.empty();
	}

	long nanosSinceHeartbeat(long now) {
		return this.track.silentNanos(now);
	}

	/**
	 * Says what a backend server is to hold.
	 */
	interface GrantSource {

		/**
		 * Answers a heartbeat.
		 * @param beat the heartbeat
		 * @param now when it came, by the steady clock
		 * @return the grants; empty if nothing is to be said of them
		 */
		Optional<GrantAnswer> answer(Heartbeat beat, long now);

	}

	private record State(Optional<BackendIncarnation> life, BackendPhase phase, int slots) {
	}

}
