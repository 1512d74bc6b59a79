package org.brasspier.daemon.internal.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.event.EventKind;
import org.brasspier.core.request.BackendLiveness;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.ownership.RequestsReport.BackendState;
import org.brasspier.daemon.internal.ownership.RequestsReport.BackendStatus;

/**
 * Tracks the announcements of the backend server and probes whether it is alive. Not
 * thread-safe; confined to the request thread.
 */
public final class BackendWatch {

	/**
	 * At this interval a frozen server is declared lost after about 1.7 s, a dead one
	 * after 0.1 s.
	 */
	private static final long PROBE_EVERY_MILLIS = 100;

	private final NioReactor reactor;

	private final BackendCalls calls;

	private final EventLog events;

	private final BackendLiveness liveness = new BackendLiveness();

	private final List<Listener> listeners = new ArrayList<>();

	private Optional<BackendAnnouncement> announcement = Optional.empty();

	private Optional<BackendStatus> reported = Optional.empty();

	private boolean probing;

	/**
	 * Creates a watch for a backend server that has not announced itself yet.
	 * @param reactor the reactor of the request thread
	 * @param calls sends calls to the backend server
	 * @param events the event log
	 */
	public BackendWatch(NioReactor reactor, BackendCalls calls, EventLog events) {
		this.reactor = reactor;
		this.calls = calls;
		this.events = events;
	}

	/**
	 * Adds a listener for changes of the status.
	 * @param listener the listener
	 */
	public void addListener(Listener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Starts probing.
	 */
	public void start() {
		this.reactor.delayBackground(PROBE_EVERY_MILLIS, this::tick);
	}

	private void tick() {
		this.reactor.delayBackground(PROBE_EVERY_MILLIS, this::tick);
		probe();
		reportChange();
	}

	private void probe() {
		if (this.probing || this.announcement.isEmpty()) {
			return;
		}
		this.probing = true;
		probeNow().whenResult((answers) -> this.probing = false);
	}

	/**
	 * Probes the backend server at once, for example after a broken connection.
	 * @return false if the connection was refused or no answer came in time; never an
	 * exception
	 */
	public Promise<Boolean> probeNow() {
		return this.calls.health().map((health) -> {
			switch (health) {
				case ANSWERED -> this.liveness.onAnswer();
				case SILENT -> this.liveness.onProbeTimeout();
				case REFUSED -> this.liveness.onConnectionRefused();
			}
			reportChange();
			return health == BackendCalls.Health.ANSWERED;
		});
	}

	/**
	 * Handles an announcement.
	 * @param latest the announcement
	 */
	public void onAnnouncement(BackendAnnouncement latest) {
		this.announcement = Optional.of(latest);
		this.calls.setAddress(latest.address());
		this.liveness.onAnnouncement(System.nanoTime());
		reportChange();
	}

	/**
	 * Records that a request was answered, which shows that the server is alive.
	 */
	public void onAnswer() {
		this.liveness.onAnswer();
	}

	/**
	 * Returns whether the process is known to have ended, so that none of its requests
	 * can still take effect.
	 * @return false if it may only be frozen
	 */
	public boolean isGone() {
		return this.liveness.isGone();
	}

	/**
	 * Returns the latest announcement.
	 * @return empty before its first announcement
	 */
	public Optional<BackendAnnouncement> announcement() {
		return this.announcement;
	}

	/**
	 * Returns the announced state, or LOST if the server is not alive.
	 * @return empty before its first announcement
	 */
	public Optional<BackendState> state() {
		return this.announcement
			.map((known) -> this.liveness.isAlive(System.nanoTime()) ? known.state() : BackendState.LOST);
	}

	/**
	 * Returns the status for the ownership thread.
	 * @return empty before the first announcement
	 */
	public Optional<BackendStatus> status() {
		return this.announcement.flatMap((known) -> state().map((state) -> new BackendStatus(known.service(), state,
				known.address(), known.slots(), known.connections(), known.checksFences(), known.coldStartMillis())));
	}

	private void reportChange() {
		Optional<BackendStatus> now = status();
		if (now.equals(this.reported)) {
			return;
		}
		this.reported = now;
		now.ifPresent((status) -> {
			EventKind kind = (status.state() == BackendState.LOST) ? EventKind.BACKEND_LOST
					: EventKind.BACKEND_ANNOUNCED;
			this.events.record(kind, status.service(), status.address() + " is " + status.state());
			this.listeners.forEach((listener) -> listener.onStatusChanged(status));
		});
	}

	/**
	 * Receives changes of the status.
	 */
	public interface Listener {

		/**
		 * Called when the status of the backend server has changed.
		 * @param status the new status
		 */
		void onStatusChanged(BackendStatus status);

	}

}
