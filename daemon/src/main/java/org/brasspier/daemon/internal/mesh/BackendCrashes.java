package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

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
 * Detects crashes of the local backend server and blocks requests that are likely to
 * crash servers. Crash state is sent to all other daemons at once and written to the
 * store for daemons that start later; the decision which requests to block uses the crash
 * state of all daemons. Not thread-safe: confined to the request thread.
 */
final class BackendCrashes {

	/** By this time the port of a process that has crashed is closed as well. */
	private static final Duration PORT_CHECK_DELAY = Duration.ofMillis(20);

	private final NioReactor reactor;

	private final InstanceId self;

	private final BackendRegistration registration;

	private final BackendPool pool;

	private final Directory directory;

	private final HopClient hops;

	private final OwnRowWriter writer;

	private final MeshLog log;

	private final CrashDetector detector = new CrashDetector();

	private final CrashSuspects suspects = new CrashSuspects();

	// Fingerprints of suspect requests that are running, by request id.
	private final Map<String, Long> runningSuspects = new HashMap<>();

	private Optional<BackendIncarnation> incarnation = Optional.empty();

	private boolean portCheckScheduled;

	private boolean updatePending;

	// Instances that were sent the latest state. Others may become known later, for
	// example while the store is unavailable.
	private final Set<InstanceId> told = new HashSet<>();

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
		registration.addListener(this::onIncarnationChanged);
		directory.addCrashListener(this::onCrashState);
	}

	void start() {
		this.reactor.delayBackground(OwnRowWriter.CHECK_INTERVAL, () -> {
			if (this.updatePending) {
				sendToOthers();
			}
			sendToNewInstances();
			write();
			start();
		});
	}

	/**
	 * Returns whether a request must not be sent to a backend server.
	 * @param request the request
	 * @return true if it is blocked because servers have crashed while running it
	 */
	boolean isBlocked(MeshRequest request) {
		return !this.suspects.isEmpty() && this.suspects.isBlocked(request.fingerprint(), System.nanoTime());
	}

	/**
	 * Returns whether a request must wait until another one has ended. Suspect requests
	 * run one at a time: if several ran at once, the next crash would not narrow down
	 * which of them causes it.
	 * @param request the request
	 * @return true if it is suspect and the server is running another suspect request
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
	 * Records that a request is sent to the server.
	 * @param request the request
	 */
	void onRequestStarted(MeshRequest request) {
		if (!this.suspects.isEmpty() && this.suspects.isSuspect(request.fingerprint())) {
			this.runningSuspects.put(request.id(), request.fingerprint());
		}
	}

	/**
	 * Records that a request has ended, with whatever outcome.
	 * @param request the request
	 */
	void onRequestEnded(MeshRequest request) {
		this.runningSuspects.remove(request.id());
	}

	/**
	 * Records that a connection to the server was lost while a request was running on it.
	 * @param incarnation the server process
	 * @param request the request
	 */
	void onConnectionLost(BackendIncarnation incarnation, MeshRequest request) {
		this.detector.onConnectionLost(incarnation, request.fingerprint(), System.nanoTime());
		if (!this.portCheckScheduled) {
			this.portCheckScheduled = true;
			this.reactor.delay(PORT_CHECK_DELAY, () -> checkPort(incarnation));
		}
	}

	// Checks whether the server's port is still open. A connection that opens stays in
	// the pool for the next request.
	private void checkPort(BackendIncarnation incarnation) {
		if (!this.detector.hasUnexplainedLosses()) {
			this.portCheckScheduled = false;
			return;
		}
		this.pool.open().whenResult((listens) -> {
			this.portCheckScheduled = false;
			this.registration.onConnectionAttempt(listens);
			if (!listens) {
				onPortClosed(incarnation);
			}
		});
	}

	/**
	 * Records that the server's port is closed.
	 * @param incarnation the server process that had opened it
	 */
	void onPortClosed(BackendIncarnation incarnation) {
		this.detector.onServerEnded(incarnation, System.nanoTime()).ifPresent(this::recordCrash);
	}

	private void onIncarnationChanged() {
		Optional<BackendIncarnation> current = this.registration.incarnation();
		if (!current.equals(this.incarnation)) {
			this.incarnation.ifPresent(this::onPortClosed);
			this.incarnation = current;
		}
	}

	private void recordCrash(CrashReport report) {
		long now = System.nanoTime();
		CrashState before = this.suspects.stateOf(this.self);
		this.suspects.merge(this.self, before.withReport(report), now);
		this.log.record(MeshEvent.BACKEND_CRASHED, "life", report.incarnation(), "running",
				report.requests().stream().map(Long::toHexString).toList(), "kept_away", this.suspects.blockedCount());
		sendToOthers();
	}

	/**
	 * Records that the server answered a request.
	 * @param incarnation the server process that answered
	 * @param request the request
	 * @param status the HTTP status of the answer
	 * @param sentNanos when the request was sent, nanoseconds of the steady clock
	 */
	void onAnswer(BackendIncarnation incarnation, MeshRequest request, int status, long sentNanos) {
		this.detector.onAnswer(incarnation, sentNanos);
		if (!this.suspects.isEmpty()
				&& this.suspects.recordAnswer(this.self, request.fingerprint(), status, System.nanoTime())) {
			this.log.record(MeshEvent.SUSPECT_CLEARED, "request", request.id(), "fingerprint",
					Long.toHexString(request.fingerprint()), "status", status);
			// Sent by the periodic task: many suspect requests usually end within a short
			// time, and one update covers all of them.
			this.updatePending = true;
		}
	}

	private void sendToOthers() {
		this.updatePending = false;
		this.told.clear();
		sendToNewInstances();
		write();
	}

	private void sendToNewInstances() {
		CrashState own = this.suspects.stateOf(this.self);
		if (own.equals(CrashState.EMPTY)) {
			return;
		}
		HopMessage.CrashUpdate update = new HopMessage.CrashUpdate(this.self, own);
		this.directory.reachable()
			.filter((member) -> !member.instance().equals(this.self) && this.told.add(member.instance()))
			.forEach((member) -> this.hops.sendToCurrentBuild(member, update));
	}

	/**
	 * Merges the crash state of another instance.
	 * @param instance the instance
	 * @param state its crash state
	 */
	void onCrashState(InstanceId instance, CrashState state) {
		if (this.suspects.merge(instance, state, System.nanoTime())) {
			this.log.record(MeshEvent.CRASHES_TOLD, "from", instance, "reports", state.reports().size(), "cleared",
					state.cleared().size(), "kept_away", this.suspects.blockedCount());
		}
	}

	private void write() {
		CrashState own = this.suspects.stateOf(this.self);
		if (this.writer.canWrite() && !own.equals(this.directory.crashState(this.self))) {
			this.writer.write(this.directory.crashStateVersion(this.self), StoredRows.crashes(own), this::write);
		}
	}

}
