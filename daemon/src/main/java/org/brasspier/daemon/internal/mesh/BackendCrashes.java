package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.crash.CrashDetector;
import org.brasspier.core.crash.CrashReport;
import org.brasspier.core.crash.CrashState;
import org.brasspier.core.crash.CrashSuspects;
import org.brasspier.core.crash.RequestFingerprint;
import org.brasspier.core.crash.SuspectTurns;
import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.request.Answer;
import org.brasspier.daemon.internal.http.BackendPool;
import org.brasspier.daemon.internal.http.BackendReply;
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

	private final SplittableRandom random = new SplittableRandom();

	private final CrashDetector detector = new CrashDetector(this.random::nextLong);

	private final CrashSuspects suspects;

	private final SuspectTurns turns = new SuspectTurns(System.nanoTime());

	// Suspect requests that are running, by run: several runs may have one request id.
	private final Map<Long, RequestFingerprint> runningSuspects = new HashMap<>();

	private Optional<BackendIncarnation> incarnation = Optional.empty();

	private boolean portCheckScheduled;

	BackendCrashes(NioReactor reactor, InstanceId self, BackendRegistration registration, BackendPool pool,
			Directory directory, HopClient hops, MetadataStore store, StoreHealth health, MeshLog log) {
		this.reactor = reactor;
		this.self = self;
		this.suspects = new CrashSuspects(self);
		this.registration = registration;
		this.pool = pool;
		this.directory = directory;
		this.hops = hops;
		this.writer = new OwnRowWriter(StoredRows.CRASHES_PREFIX + self.value(), directory, store, health);
		this.log = log;
		registration.addListener(this::onBackendChanged);
		directory.addCrashListener(this::onCrashState);
	}

	void start() {
		this.reactor.delayBackground(OwnRowWriter.CHECK_INTERVAL, () -> {
			start();
			replicate();
		});
	}

	/**
	 * Returns whether a request must not be sent to a backend server.
	 * @param request the request
	 * @param caller the calling service
	 * @return true if it is blocked because servers have crashed while running it
	 */
	boolean isBlocked(MeshRequest request, ServiceName caller) {
		if (this.suspects.isEmpty()) {
			return false;
		}
		RequestFingerprint fingerprint = request.fingerprint(caller);
		if (!this.suspects.isBlocked(fingerprint, System.nanoTime())) {
			return false;
		}
		recordRefusal(request.id(), fingerprint, "blocked");
		return true;
	}

	boolean isBlocked(HopRequest request) {
		return isBlocked(request.request(), request.caller());
	}

	/**
	 * Returns whether a request must wait until another one has ended. Suspect requests
	 * run one at a time: if several ran at once, the next crash would not narrow down
	 * which of them causes it.
	 * @param request the request
	 * @return true if it is suspect and the server is running another suspect request
	 */
	boolean mustWait(HopRequest request) {
		if (this.runningSuspects.isEmpty()) {
			return false;
		}
		RequestFingerprint fingerprint = request.fingerprint();
		boolean waits = this.suspects.isSuspect(fingerprint)
				&& this.runningSuspects.values().stream().anyMatch((other) -> !other.equals(fingerprint));
		if (waits) {
			recordRefusal(request.request().id(), fingerprint, "another suspect is running");
		}
		return waits;
	}

	private void recordRefusal(String id, RequestFingerprint fingerprint, String reason) {
		this.log.record(MeshEvent.SUSPECT_REFUSED, "request", id, "fingerprint", fingerprint, "reason", reason,
				"crashes", this.suspects.crashCount(fingerprint), "life",
				this.registration.incarnation().map(String::valueOf).orElse(""));
	}

	/**
	 * Reserves a turn for a suspect request that must wait.
	 * @param run how long a request of its class usually runs
	 * @return the time until its turn
	 */
	Duration reserveTurn(Duration run) {
		return this.turns.reserve(run, System.nanoTime());
	}

	/**
	 * Records that a request is sent to the server.
	 * @param run the number of the run, which no other run on this instance has
	 * @param request the request
	 */
	void onRequestStarted(long run, HopRequest request) {
		if (!this.suspects.isEmpty()) {
			RequestFingerprint fingerprint = request.fingerprint();
			if (this.suspects.isSuspect(fingerprint)) {
				this.runningSuspects.put(run, fingerprint);
			}
		}
	}

	/**
	 * Records that a run has ended, with whatever outcome.
	 * @param run the number of the run
	 */
	void onRequestEnded(long run) {
		this.runningSuspects.remove(run);
	}

	/**
	 * Records how a request that was sent to the server has ended.
	 * @param request the request
	 * @param reply the reply
	 * @param ran whether the reply is an answer of a server that ran the request
	 */
	void onReply(SentRequest request, BackendReply reply, boolean ran) {
		switch (reply) {
			case BackendReply.Whole(Answer answer) -> {
				if (ran) {
					onAnswer(request, answer.status());
				}
			}
			case BackendReply.Broken ignored -> onConnectionLost(request);
			case BackendReply.Garbled ignored -> onConnectionLost(request);
			case BackendReply.Closed ignored -> onPortClosed(request.incarnation());
			case BackendReply.GivenUp ignored ->
				this.detector.onAbandoned(request.incarnation(), request.fingerprint(), System.nanoTime());
			case BackendReply.NotSent ignored -> {
				// Says nothing about the server.
			}
		}
	}

	private void onConnectionLost(SentRequest request) {
		this.detector
			.onConnectionLost(request.incarnation(), request.fingerprint(), request.connectionOpenedNanos(),
					request.sentNanos(), System.nanoTime())
			.ifPresent(this::recordCrash);
		if (this.detector.hasUnexplainedLosses() && !this.portCheckScheduled) {
			this.portCheckScheduled = true;
			this.reactor.delay(PORT_CHECK_DELAY, () -> checkPort(request.incarnation()));
		}
	}

	// Checks whether the server's port is still open. A connection that opens stays in
	// the pool for the next request.
	private void checkPort(BackendIncarnation server) {
		if (!this.detector.hasUnexplainedLosses()) {
			this.portCheckScheduled = false;
			return;
		}
		this.pool.open().whenResult((listens) -> {
			this.portCheckScheduled = false;
			this.registration.onConnectionAttempt(listens);
			if (!listens) {
				onPortClosed(server);
			}
		});
	}

	private void onPortClosed(BackendIncarnation server) {
		this.detector.onServerEnded(server, this.suspects::isSuspect, System.nanoTime()).ifPresent(this::recordCrash);
	}

	private void onBackendChanged() {
		Optional<BackendIncarnation> current = this.registration.incarnation();
		if (!current.equals(this.incarnation)) {
			this.incarnation.ifPresent(this::onPortClosed);
			this.incarnation = current;
		}
		if (!this.registration.ready()) {
			current.ifPresent(this.detector::onLeaving);
		}
	}

	private void recordCrash(CrashReport report) {
		this.suspects.recordCrash(report, System.nanoTime());
		this.log.record(MeshEvent.BACKEND_CRASHED, "life", report.incarnation(), "running",
				List.copyOf(report.requests()), "kept_away", this.suspects.blockedCount(), "crash",
				Long.toHexString(report.id()));
		replicate();
	}

	private void onAnswer(SentRequest request, int status) {
		this.detector.onAnswer(request.incarnation(), request.sentNanos());
		if (this.suspects.isEmpty()) {
			return;
		}
		RequestFingerprint fingerprint = request.fingerprint();
		if (this.suspects.recordAnswer(fingerprint, status, request.sentNanos(), System.nanoTime())) {
			this.log.record(MeshEvent.SUSPECT_CLEARED, "request", request.id(), "fingerprint", fingerprint, "status",
					status, "life", request.incarnation());
			// Replicated by the periodic task: many suspect requests usually end within a
			// short time, and one update covers all of them.
		}
	}

	// Sends the state to the daemons that have not been sent it, among them those that
	// become known or reachable later, and writes it to the store.
	private void replicate() {
		CrashState own = this.suspects.ownState(System.nanoTime());
		if (own.equals(CrashState.EMPTY)) {
			this.hops.setReplicatedState(Optional.empty());
		}
		else {
			this.hops.setReplicatedState(Optional.of(new HopMessage.CrashUpdate(this.self, own)));
			this.directory.reachable()
				.filter((member) -> !member.instance().equals(this.self))
				.forEach(this.hops::replicateTo);
		}
		write();
	}

	/**
	 * Merges the crash state of another instance.
	 * @param instance the instance
	 * @param state its crash state
	 */
	void onCrashState(InstanceId instance, CrashState state) {
		if (this.suspects.merge(instance, state, System.nanoTime())) {
			this.log.record(MeshEvent.CRASHES_TOLD, "from", instance, "reports", state.reports().size(), "cleared",
					state.exonerations().size(), "kept_away", this.suspects.blockedCount());
		}
	}

	private void write() {
		CrashState own = this.suspects.ownState(System.nanoTime());
		if (this.writer.canWrite() && !own.equals(this.directory.crashState(this.self))) {
			this.writer.write(this.directory.crashStateVersion(this.self), StoredRows.crashes(own), this::write);
		}
	}

}
