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
 * Knows the backend server's announcements and whether it is there. Belongs to the thread
 * of requests.
 */
public final class BackendWatch {

	/** A frozen server is then lost after about 1.7 s, a dead one after 0.1 s. */
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
	 * Creates a watch over a backend server that is not known yet.
	 * @param reactor the reactor of the thread of requests
	 * @param calls the way to the backend server
	 * @param events the time line
	 */
	public BackendWatch(NioReactor reactor, BackendCalls calls, EventLog events) {
		this.reactor = reactor;
		this.calls = calls;
		this.events = events;
	}

	/**
	 * Tells a listener of each change from now on.
	 * @param listener the listener
	 */
	public void addListener(Listener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Begins to probe.
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
	 * Asks the backend server for a sign of life, as after a broken connection.
	 * @return false if nobody listens or nothing came in time; never an exception
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
	 * Takes an announcement.
	 * @param latest the announcement
	 */
	public void onAnnouncement(BackendAnnouncement latest) {
		this.announcement = Optional.of(latest);
		this.calls.setAddress(latest.address());
		this.liveness.onAnnouncement(System.nanoTime());
		reportChange();
	}

	/**
	 * An order was answered, which shows life.
	 */
	public void onAnswer() {
		this.liveness.onAnswer();
	}

	/**
	 * Whether its process is known to be gone, so that nothing it was at can still take
	 * effect.
	 * @return false if it may only be frozen
	 */
	public boolean isGone() {
		return this.liveness.isGone();
	}

	/**
	 * What the backend server announced last.
	 * @return empty before its first announcement
	 */
	public Optional<BackendAnnouncement> announcement() {
		return this.announcement;
	}

	/**
	 * What may be done with the backend server.
	 * @return empty before its first announcement
	 */
	public Optional<BackendState> state() {
		return this.announcement
			.map((known) -> this.liveness.isAlive(System.nanoTime()) ? known.state() : BackendState.LOST);
	}

	/**
	 * The state as the thread of ownership wants it.
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
	 * Told of changes.
	 */
	public interface Listener {

		/**
		 * What is known of the backend server has changed.
		 * @param status what is known now
		 */
		void onStatusChanged(BackendStatus status);

	}

}
