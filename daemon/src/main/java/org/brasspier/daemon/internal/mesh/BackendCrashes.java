package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.InstanceId;
import org.brasspier.core.crash.CrashDetector;
import org.brasspier.core.crash.CrashReport;
import org.brasspier.core.crash.CrashState;
import org.brasspier.core.crash.CrashSuspects;
import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.daemon.internal.http.BackendPool;
import org.brasspier.daemon.mesh.MeshRequest;
import org.brasspier.daemon.mesh.MetadataStore;

/**
 * Crashes of the backend server beside this daemon, told to all others at once and kept
 * in the store for those that start later; and the requests that are kept away for what
 * all of them tell. Belongs to the thread of requests.
 */
final class BackendCrashes {

	/** By then a process that has crashed has lost its port as well. */
	private static final Duration LOOK_AFTER = Duration.ofMillis(20);

	private final NioReactor reactor;

	private final InstanceId self;

	private final BackendRegistration registration;

	private final BackendPool pool;

	private final Directory directory;

	private final HopClient hops;

	private final OwnRowWriter writer;

	private final MeshLog log;

	private final CrashDetector watch = new CrashDetector();

	private final CrashSuspects suspects = new CrashSuspects();

	// By the id of the request, its fingerprint.
	private final Map<String, Long> runningSuspects = new HashMap<>();

	private Optional<BackendIncarnation> life = Optional.empty();

	private boolean looking;

	private boolean untold;

	BackendCrashes(NioReactor reactor, InstanceId self, BackendRegistration registration, BackendPool pool,
			Directory directory, HopClient hops, MetadataStore store, StoreHealth health, MeshLog log) {
		this.reactor = reactor;
		this.self = self;
		this.registration = registration;
		this.pool = pool;
		this.directory = directory;
		this.hops = hops;
		this.writer = new OwnRowWriter(StoredRows.CRASHES_PREFIX + self.value(), directory, store, health);
		this.log = log;
		registration.addListener(this::lifeChanged);
		directory.addCrashListener(this::onCrashState);
	}

	void start() {
		this.reactor.delayBackground(OwnRowWriter.CHECK_INTERVAL, () -> {
			if (this.untold) {
				tellOthers();
			}
			write();
			start();
		});
	}

	/**
	 * Whether a request must not reach a backend server.
	 * @param request the request
	 * @return true if servers have crashed under it
	 */
	boolean isBlocked(MeshRequest request) {
		return !this.suspects.isEmpty() && this.suspects.isBlocked(request.fingerprint(), System.nanoTime());
	}

	/**
	 * Whether a request must wait for another one. Suspects run one at a time, or the
	 * next crash would leave as many of them as before.
	 * @param request the request
	 * @return true if it is suspect and the server runs another suspect
	 */
	boolean mustWait(MeshRequest request) {
		if (this.runningSuspects.isEmpty()) {
			return false;
		}
		long fingerprint = request.fingerprint();
		return this.suspects.isSuspect(fingerprint)
				&& this.runningSuspects.values().stream().anyMatch((other) -> other != fingerprint);
	}

	/**
	 * Takes that the server is given a request.
	 * @param request the request
	 */
	void onRequestStarted(MeshRequest request) {
		if (!this.suspects.isEmpty() && this.suspects.isSuspect(request.fingerprint())) {
			this.runningSuspects.put(request.id(), request.fingerprint());
		}
	}

	/**
	 * Takes that the server is done with a request, one way or another.
	 * @param request the request
	 */
	void onRequestEnded(MeshRequest request) {
		this.runningSuspects.remove(request.id());
	}

	/**
	 * Takes that a connection to the server ended while it had a request.
	 * @param of the server's life
	 * @param request the request
	 */
	void onConnectionLost(BackendIncarnation of, MeshRequest request) {
		this.watch.onConnectionLost(of, request.fingerprint(), System.nanoTime());
		if (!this.looking) {
			this.looking = true;
			this.reactor.delay(LOOK_AFTER, () -> look(of));
		}
	}

	// A connection that opens is kept for the next order.
	private void look(BackendIncarnation of) {
		if (!this.watch.hasUnexplainedLosses()) {
			this.looking = false;
			return;
		}
		this.pool.open().whenResult((listens) -> {
			this.looking = false;
			this.registration.onConnectionAttempt(listens);
			if (!listens) {
				onPortClosed(of);
			}
		});
	}

	/**
	 * Takes that nothing listens at the server's address.
	 * @param of the life that had it
	 */
	void onPortClosed(BackendIncarnation of) {
		this.watch.onServerEnded(of, System.nanoTime()).ifPresent(this::crashed);
	}

	private void lifeChanged() {
		Optional<BackendIncarnation> now = this.registration.incarnation();
		if (!now.equals(this.life)) {
			this.life.ifPresent(this::onPortClosed);
			this.life = now;
		}
	}

	private void crashed(CrashReport report) {
		long now = System.nanoTime();
		CrashState before = this.suspects.stateOf(this.self);
		this.suspects.merge(this.self, before.withReport(report), now);
		this.log.record(MeshEvent.BACKEND_CRASHED, "life", report.incarnation(), "running",
				report.requests().stream().map(Long::toHexString).toList(), "kept_away", this.suspects.blockedCount());
		tellOthers();
	}

	/**
	 * Takes that the server answered a request.
	 * @param by the server's life
	 * @param request the request
	 * @param sentNanos when it was sent
	 */
	void onAnswer(BackendIncarnation by, MeshRequest request, long sentNanos) {
		this.watch.onAnswer(by, sentNanos);
		if (!this.suspects.isEmpty()
				&& this.suspects.recordSuccess(this.self, request.fingerprint(), System.nanoTime())) {
			// Many mostly end within a short while, and are told together.
			this.untold = true;
		}
	}

	private void tellOthers() {
		this.untold = false;
		HopMessage.CrashUpdate told = new HopMessage.CrashUpdate(this.self, this.suspects.stateOf(this.self));
		this.directory.reachable()
			.filter((member) -> !member.instance().equals(this.self))
			.forEach((member) -> this.hops.sendToCurrentBuild(member, told));
		write();
	}

	/**
	 * Takes what an instance tells.
	 * @param from the instance
	 * @param notes what it tells
	 */
	void onCrashState(InstanceId from, CrashState notes) {
		if (this.suspects.merge(from, notes, System.nanoTime())) {
			this.log.record(MeshEvent.CRASHES_TOLD, "from", from, "reports", notes.reports().size(), "cleared",
					notes.cleared().size(), "kept_away", this.suspects.blockedCount());
		}
	}

	private void write() {
		CrashState own = this.suspects.stateOf(this.self);
		if (this.writer.canWrite() && !own.equals(this.directory.crashState(this.self))) {
			this.writer.write(this.directory.crashStateVersion(this.self), StoredRows.crashes(own), this::write);
		}
	}

}
