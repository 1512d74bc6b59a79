package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.coldstart.ColdStartLimiter;
import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.keys.GrantAnswer;
import org.brasspier.core.mesh.BackendTracker;
import org.brasspier.core.mesh.BackendTracker.BackendPhase;
import org.brasspier.daemon.mesh.BackendMessage;
import org.brasspier.daemon.mesh.Heartbeat;
import org.brasspier.daemon.mesh.MeshSettings;
import org.jspecify.annotations.Nullable;

/**
 * State of the local backend server, from its heartbeats. A departure takes effect at the
 * moment when it is acknowledged. Not thread-safe: confined to the request thread.
 */
final class BackendRegistration {

	private final MeshSettings.Backend backend;

	private final MeshLog log;

	private final BackendTracker tracker = new BackendTracker();

	private final List<Runnable> listeners = new ArrayList<>();

	private Runnable onServerReplaced = () -> {
	};

	private GrantSource grantSource = (heartbeat, now) -> Optional.empty();

	private int slots = 1;

	private long lastHeartbeatNanos;

	private final ColdStartLimiter coldStart = new ColdStartLimiter(System.nanoTime());

	BackendRegistration(MeshSettings.Backend backend, MeshLog log) {
		this.backend = backend;
		this.log = log;
	}

	void setGrantSource(GrantSource source) {
		this.grantSource = source;
	}

	// Called before the listeners when another incarnation has taken the place of the
	// known one.
	void onServerReplaced(Runnable listener) {
		this.onServerReplaced = listener;
	}

	// Listeners run after each change of the server process, its phase or its slots.
	void addListener(Runnable listener) {
		this.listeners.add(listener);
	}

	Either<Failure, Optional<GrantAnswer>> receive(BackendMessage message) {
		long now = System.nanoTime();
		return switch (message) {
			case BackendMessage.HeartbeatMessage(Heartbeat heartbeat) -> heartbeat(heartbeat, now);
			case BackendMessage.Departure(String id) -> departure(id, now);
		};
	}

	private Either<Failure, Optional<GrantAnswer>> heartbeat(Heartbeat heartbeat, long now) {
		if (!heartbeat.service().equals(this.backend.service())
				|| !heartbeat.address().equals(this.backend.address())) {
			String reason = "it names service %s at %s, beside this daemon is %s at %s".formatted(heartbeat.service(),
					heartbeat.address(), this.backend.service(), this.backend.address());
			this.log.record(MeshEvent.BACKEND_MESSAGE_IGNORED, "life", heartbeat.holds().incarnation(), "reason",
					reason);
			return Either.left(Failure.of(ErrorKind.BAD_REQUEST, reason));
		}
		State before = state();
		if (!this.tracker.onHeartbeat(heartbeat.holds().incarnation(), heartbeat.sequence(), heartbeat.draining(),
				now)) {
			this.log.record(MeshEvent.BACKEND_MESSAGE_IGNORED, "life", heartbeat.holds().incarnation(), "sequence",
					heartbeat.sequence(), "reason", "it is late");
			return Either.right(Optional.empty());
		}
		this.slots = heartbeat.slots();
		this.lastHeartbeatNanos = now;
		this.coldStart.onHeartbeat(heartbeat.coldStartRemaining(), now);
		notifyIfChanged(before, now);
		return Either.right(this.grantSource.answer(heartbeat, now));
	}

	private Either<Failure, Optional<GrantAnswer>> departure(String id, long now) {
		State before = state();
		if (!this.tracker.onDeparture(id, now)) {
			this.log.record(MeshEvent.BACKEND_MESSAGE_IGNORED, "life", id, "reason", "another life goes on");
		}
		notifyIfChanged(before, now);
		return Either.right(Optional.empty());
	}

	/**
	 * Records that a server says in its answers that it is leaving.
	 * @param incarnation the server process
	 */
	void announceLeaving(BackendIncarnation incarnation) {
		State before = state();
		long now = System.nanoTime();
		this.tracker.onLeavingAnnounced(incarnation, now);
		notifyIfChanged(before, now);
	}

	/**
	 * Records that an earlier process of this instance has acknowledged the departure of
	 * a server.
	 * @param incarnation the server process
	 */
	void restoreDeparture(BackendIncarnation incarnation) {
		State before = state();
		this.tracker.restoreDeparture(incarnation);
		notifyIfChanged(before, System.nanoTime());
	}

	private void notifyIfChanged(State before, long now) {
		State after = state();
		if (before.equals(after)) {
			return;
		}
		if (before.incarnation.isPresent() && !before.incarnation.equals(after.incarnation)) {
			this.onServerReplaced.run();
		}
		this.log.record(MeshEvent.BACKEND_CHANGED, "life", after.incarnation.map(String::valueOf).orElse(""), "phase",
				after.phase, "before", before.phase, "slots", after.slots, "sequence", this.tracker.sequence(),
				"leaving_ms", this.tracker.leavingFor(now).map(Duration::toMillis).orElse(-1L));
		this.listeners.forEach(Runnable::run);
	}

	private State state() {
		return new State(this.tracker.incarnation(), this.tracker.phase(), this.slots);
	}

	Optional<BackendIncarnation> incarnation() {
		return this.tracker.incarnation();
	}

	BackendPhase phase() {
		return this.tracker.phase();
	}

	boolean ready() {
		return this.tracker.phase() == BackendPhase.READY;
	}

	int slots() {
		return this.slots;
	}

	/**
	 * Returns the time until the next heartbeat is expected, in whose answer the server
	 * is granted keys.
	 * @param now current time, nanoseconds of the steady clock
	 * @return the remaining time; zero if the heartbeat is overdue, so that the time is
	 * unknown
	 */
	Duration untilNextHeartbeat(long now) {
		long left = this.lastHeartbeatNanos + this.backend.heartbeatInterval().toNanos() - now;
		return Duration.ofNanos(Math.max(0, left));
	}

	// Limits the requests that the server receives while it is cold.
	ColdStartLimiter coldStart() {
		return this.coldStart;
	}

	// Records whether an attempt to connect to the server succeeded.
	void onConnectionAttempt(boolean connected) {
		this.tracker.onConnectionAttempt(connected, System.nanoTime());
	}

	boolean isDead() {
		return this.tracker.isDead(System.nanoTime());
	}

	// Returns how long the server has been draining. Empty if it isn't draining, or if
	// this process has never seen it ready, because it can't tell then when the drain
	// began.
	Optional<Duration> drainingFor(long now) {
		return this.tracker.leavingFor(now);
	}

	// Returns when the latest accepted heartbeat arrived, in nanoseconds of the steady
	// clock.
	long lastHeartbeatNanos() {
		return this.lastHeartbeatNanos;
	}

	long nanosSinceHeartbeat(long now) {
		return this.tracker.silentNanos(now);
	}

	/**
	 * Decides which keys a backend server is to hold.
	 */
	interface GrantSource {

		/**
		 * Returns the grants with which a heartbeat is answered.
		 * @param heartbeat the heartbeat
		 * @param now when it was received, nanoseconds of the steady clock
		 * @return the grants; empty if the answer contains no statement about grants
		 */
		Optional<GrantAnswer> answer(Heartbeat heartbeat, long now);

	}

	private record State(Optional<BackendIncarnation> incarnation, BackendPhase phase, int slots) {

		// Written by hand: the generated methods use method handles, which take
		// milliseconds to set up in a process that has just started.
		@Override
		public boolean equals(@Nullable Object other) {
			return other instanceof State that && this.incarnation.equals(that.incarnation) && this.phase == that.phase
					&& this.slots == that.slots;
		}

		@Override
		public int hashCode() {
			return 31 * this.incarnation.hashCode() + this.phase.hashCode();
		}

	}

}
