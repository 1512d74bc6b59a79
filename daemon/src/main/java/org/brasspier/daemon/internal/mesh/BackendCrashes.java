package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.InstanceId;
import org.brasspier.core.crash.CrashNotes;
import org.brasspier.core.crash.CrashReport;
import org.brasspier.core.crash.CrashSuspects;
import org.brasspier.core.crash.CrashWatch;
import org.brasspier.core.keys.BackendLife;
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

	private final CrashWatch watch = new CrashWatch();

	private final CrashSuspects suspects = new CrashSuspects();

	// By the id of the request, its fingerprint.
	private final Map<String, Long> runningSuspects = new HashMap<>();

	private Optional<BackendLife> life = Optional.empty();

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
		registration.listen(this::lifeChanged);
		directory.whenCrashesTold(this::told);
	}

	void start() {
		this.reactor.delayBackground(OwnRowWriter.LOOK_EVERY, () -> {
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
	boolean keepsAway(MeshRequest request) {
		return !this.suspects.isEmpty() && this.suspects.keepsAway(request.fingerprint(), System.nanoTime());
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
		return this.suspects.suspects(fingerprint)
				&& this.runningSuspects.values().stream().anyMatch((other) -> other != fingerprint);
	}

	/**
	 * Takes that the server is given a request.
	 * @param request the request
	 */
	void begun(MeshRequest request) {
		if (!this.suspects.isEmpty() && this.suspects.suspects(request.fingerprint())) {
			this.runningSuspects.put(request.id(), request.fingerprint());
		}
	}

	/**
	 * Takes that the server is done with a request, one way or another.
	 * @param request the request
	 */
	void over(MeshRequest request) {
		this.runningSuspects.remove(request.id());
	}

	/**
	 * Takes that a connection to the server ended while it had a request.
	 * @param of the server's life
	 * @param request the request
	 */
	void broke(BackendLife of, MeshRequest request) {
		this.watch.broke(of, request.fingerprint(), System.nanoTime());
		if (!this.looking) {
			this.looking = true;
			this.reactor.delay(LOOK_AFTER, () -> look(of));
		}
	}

	// A connection that opens is kept for the next order.
	private void look(BackendLife of) {
		if (!this.watch.doubtful()) {
			this.looking = false;
			return;
		}
		this.pool.open().whenResult((listens) -> {
			this.looking = false;
			this.registration.tried(listens);
			if (!listens) {
				closed(of);
			}
		});
	}

	/**
	 * Takes that nothing listens at the server's address.
	 * @param of the life that had it
	 */
	void closed(BackendLife of) {
		this.watch.ended(of, System.nanoTime()).ifPresent(this::crashed);
	}

	private void lifeChanged() {
		Optional<BackendLife> now = this.registration.life();
		if (!now.equals(this.life)) {
			this.life.ifPresent(this::closed);
			this.life = now;
		}
	}

	private void crashed(CrashReport report) {
		long now = System.nanoTime();
		CrashNotes before = this.suspects.notes(this.self);
		this.suspects.told(this.self, before.with(report), now);
		this.log.record(MeshEvent.BACKEND_CRASHED, "life", report.life(), "running",
				report.requests().stream().map(Long::toHexString).toList(), "kept_away", this.suspects.keptAway());
		tellOthers();
	}

	/**
	 * Takes that the server answered a request.
	 * @param by the server's life
	 * @param request the request
	 * @param sentNanos when it was sent
	 */
	void answered(BackendLife by, MeshRequest request, long sentNanos) {
		this.watch.answered(by, sentNanos);
		if (!this.suspects.isEmpty() && this.suspects.endedWell(this.self, request.fingerprint(), System.nanoTime())) {
			// Many mostly end within a short while, and are told together.
			this.untold = true;
		}
	}

	private void tellOthers() {
		this.untold = false;
		HopMessage.CrashesTold told = new HopMessage.CrashesTold(this.self, this.suspects.notes(this.self));
		this.directory.reachable()
			.filter((member) -> !member.instance().equals(this.self))
			.forEach((member) -> this.hops.tellCurrentBuild(member, told));
		write();
	}

	/**
	 * Takes what an instance tells.
	 * @param from the instance
	 * @param notes what it tells
	 */
	void told(InstanceId from, CrashNotes notes) {
		if (this.suspects.told(from, notes, System.nanoTime())) {
			this.log.record(MeshEvent.CRASHES_TOLD, "from", from, "reports", notes.reports().size(), "cleared",
					notes.cleared().size(), "kept_away", this.suspects.keptAway());
		}
	}

	private void write() {
		CrashNotes own = this.suspects.notes(this.self);
		if (this.writer.ready() && !own.equals(this.directory.crashNotes(this.self))) {
			this.writer.write(this.directory.crashNotesVersion(this.self), StoredRows.crashes(own), this::write);
		}
	}

}
