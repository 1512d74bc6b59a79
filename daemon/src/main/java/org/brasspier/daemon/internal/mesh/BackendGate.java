package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import org.brasspier.core.CallerId;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.RequestClass;
import org.brasspier.core.admission.AdmissionController;
import org.brasspier.core.admission.AdmissionDecision;
import org.brasspier.core.admission.AdmissionLimits;
import org.brasspier.core.admission.AdmissionSettings;
import org.brasspier.core.admission.NextRequests;
import org.brasspier.core.admission.PendingRequest;
import org.brasspier.core.admission.RefusedRequest;
import org.brasspier.core.admission.RunOutcome;
import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.mesh.BackendTracker.BackendPhase;
import org.brasspier.core.mesh.LinkDelay;
import org.brasspier.core.mesh.RoutingConfig;
import org.brasspier.core.mesh.SendOutcome;
import org.brasspier.core.request.Answer;
import org.brasspier.daemon.internal.http.BackendPool;
import org.brasspier.daemon.internal.http.BackendReply;
import org.brasspier.daemon.internal.request.Cancellation;
import org.brasspier.daemon.mesh.BackendProtocol;
import org.brasspier.daemon.mesh.BackendRequest;
import org.brasspier.daemon.mesh.MeshSettings;

/**
 * The one gate to the backend server beside this daemon. Nothing else can reach that
 * server, so its slots are counted exactly, what is turned away here certainly did not
 * run, and its leaving takes effect here at once. Belongs to the thread of requests.
 */
final class BackendGate {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	private static final Duration RETRY_SOON = Duration.ofMillis(100);

	/** The way of an answer to a heartbeat and of what it grants. */
	private static final Duration GRANT_MARGIN = Duration.ofMillis(20);

	/** How often something that waits is looked at. */
	private static final Duration LOOK_AGAIN = Duration.ofMillis(5);

	/**
	 * Taken off the time for which a leaving server may be given work, for the way of the
	 * last order.
	 */
	private static final Duration DRAIN_MARGIN = Duration.ofMillis(500);

	/**
	 * All requests wait in one line. The service beside which a request began says
	 * nothing of who sent it, and making room for another one's requests would refuse
	 * some that have waited already.
	 */
	private static final CallerId CALLER = new CallerId("any");

	private final NioReactor reactor;

	private final MeshSettings settings;

	private final BackendRegistration registration;

	private final BackendPool pool;

	private final BackendProtocol protocol;

	private final Supplier<RoutingConfig> config;

	private final KeyOwnership keys;

	private final BackendCrashes crashes;

	private final MeshLog log;

	private final AdmissionController admission = new AdmissionController(new AdmissionLimits(1, 1),
			AdmissionSettings.DEFAULT);

	private final Map<Long, Waiting> waiting = new HashMap<>();

	private long nextNumber = 1;

	private long rulesOfVersion = -1;

	private Optional<BackendIncarnation> life = Optional.empty();

	private boolean expiring;

	private boolean stopping;

	BackendGate(NioReactor reactor, MeshSettings settings, BackendRegistration registration, BackendPool pool,
			BackendProtocol protocol, Supplier<RoutingConfig> config, KeyOwnership keys, BackendCrashes crashes,
			MeshLog log) {
		this.reactor = reactor;
		this.settings = settings;
		this.registration = registration;
		this.pool = pool;
		this.protocol = protocol;
		this.config = config;
		this.keys = keys;
		this.crashes = crashes;
		this.log = log;
		registration.addListener(this::backendChanged);
	}

	private void backendChanged() {
		if (!this.registration.incarnation().equals(this.life)) {
			this.life = this.registration.incarnation();
			this.pool.forget();
		}
		this.rulesOfVersion = -1;
	}

	private void followConfig() {
		RoutingConfig inForce = this.config.get();
		if (inForce.version() == this.rulesOfVersion) {
			return;
		}
		this.rulesOfVersion = inForce.version();
		int connections = inForce.service(this.settings.backend().service())
			.map((rule) -> rule.maxConnections())
			.orElse(this.registration.slots());
		this.admission.updateLimits(new AdmissionLimits(this.registration.slots(), connections));
		this.admission.updateRules(inForce.admissionSettings(this.settings.backend().service()), Map.of());
	}

	/**
	 * Runs a request on the backend server.
	 * @param ask the request
	 * @param heldUpNanos how long it was held up on the way from another daemon
	 * @param cancellation tells when nobody waits for it any more
	 * @return what came of it; never an exception
	 */
	Promise<SendOutcome> run(HopRequest ask, long heldUpNanos, Cancellation cancellation) {
		long now = System.nanoTime();
		ask.request().key().ifPresent(this.keys::recordRequest);
		Optional<Failure> closed = closed(ask, heldUpNanos, now);
		if (closed.isPresent()) {
			return Promise.of(turnedAway(ask, closed.get()));
		}
		followConfig();
		// Not less than what is left: what runs would be broken off before its caller's
		// time is over. What waited for this loop counts as held up on the way.
		long remaining = Math.max(0, ask.request().remainingMillis() - heldUpNanos / NANOS_PER_MILLI);
		Order order = new Order(ask, cancellation, now + remaining * NANOS_PER_MILLI);
		long number = this.nextNumber++;
		PendingRequest pending = new PendingRequest(number, ask.requestClass(), CALLER, order.deadlineNanos,
				ask.overdue());
		Optional<Duration> wait = ask.mayQueue() ? Optional.empty() : this.admission.expectedQueueWait(pending, now);
		if (wait.isPresent()) {
			return Promise.of(turnedAway(ask, new Failure(ErrorKind.NO_FREE_SLOT, "no slot is free", wait.get())));
		}
		return switch (this.admission.offer(pending, now)) {
			case AdmissionDecision.Run ignored -> start(number, order);
			case AdmissionDecision.Queued queued -> {
				queued.displaced().ifPresent(this::refuse);
				yield enqueue(number, order);
			}
			case AdmissionDecision.Refuse refuse -> Promise.of(turnedAway(ask, refuse.failure()));
		};
	}

	/**
	 * Takes no new work from now on, since this process is about to end. Without it, a
	 * daemon that other daemons still send to is never idle, and what it took last is cut
	 * off when its time is over, though the server was at work on it.
	 */
	void stop() {
		this.stopping = true;
	}

	// Why nothing may be handed over now.
	private Optional<Failure> closed(HopRequest ask, long heldUpNanos, long now) {
		if (this.stopping) {
			return noBackend("the daemon beside the backend server is stopping");
		}
		if (LinkDelay.exceedsTimeout(heldUpNanos)) {
			return Optional.of(Failure.of(ErrorKind.DEADLINE_PASSED, "it was held up for %d ms between the daemons"
				.formatted(Duration.ofNanos(heldUpNanos).toMillis())));
		}
		return suspect(ask).or(() -> unservable(ask, now));
	}

	// Why a request under which servers may have crashed may not be handed over now.
	private Optional<Failure> suspect(HopRequest ask) {
		if (this.crashes.isBlocked(ask.request())) {
			return Optional.of(blockedFailure());
		}
		return this.crashes.mustWait(ask.request())
				? Optional
					.of(new Failure(ErrorKind.OVERLOADED, "another request that may crash servers runs", RETRY_SOON))
				: Optional.empty();
	}

	// Nobody knows when it may be tried again, so no pause is told.
	static Failure blockedFailure() {
		return Failure.of(ErrorKind.CRASHED_BACKENDS, "backend servers have crashed under this request");
	}

	private Optional<Failure> unservable(HopRequest ask, long now) {
		if (!this.config.get().isKnown()) {
			// Whether the service is divided by key is not known either, and a server
			// that was given a request for keys it doesn't hold would decline it.
			return Optional.of(new Failure(ErrorKind.NO_CONFIGURATION, "no configuration is known yet", RETRY_SOON));
		}
		if (!ask.service().equals(this.settings.backend().service())) {
			return noBackend("this instance's backend server is of service " + this.settings.backend().service());
		}
		boolean byKey = ask.request().key().isPresent()
				&& this.config.get().service(ask.service()).filter((rule) -> rule.sharded()).isPresent();
		if (!this.registration.ready() && !(byKey && mayFinish(now))) {
			return noBackend("the backend server is " + this.registration.phase());
		}
		if (byKey && !this.keys.usable(ask.request().key().getAsInt())) {
			return Optional.of(new Failure(ErrorKind.NOT_OWNER, "the backend server doesn't hold this key now",
					untilHeld(ask.request().key().getAsInt(), now)));
		}
		return Optional.empty();
	}

	// Keys are served on until another server has them, but no longer than a leaving
	// server may be given work.
	private boolean mayFinish(long now) {
		boolean leaving = this.registration.phase() == BackendPhase.DRAINING
				|| this.registration.phase() == BackendPhase.DEPARTED;
		Duration longest = this.settings.bounds().drain().minus(DRAIN_MARGIN);
		return leaving
				&& this.registration.drainingFor(now).filter((since) -> since.compareTo(longest) < 0).isPresent();
	}

	// Keys come with the next heartbeat. When one that leaves is held by its next holder,
	// and when an overdue heartbeat comes, nobody knows, and no pause is told.
	private Duration untilHeld(int key, long now) {
		Duration next = this.registration.untilNextHeartbeat(now);
		return (next.isZero() || this.keys.isMoving(key)) ? Duration.ZERO : next.plus(GRANT_MARGIN);
	}

	// Nobody knows for how long, so no pause is told.
	private static Optional<Failure> noBackend(String detail) {
		return Optional.of(Failure.of(ErrorKind.NO_BACKEND, detail));
	}

	private SendOutcome turnedAway(HopRequest ask, Failure failure) {
		this.log.record(MeshEvent.GATE_TURNED_AWAY, "request", ask.request().id(), "class", ask.requestClass(),
				"reason", failure.kind(), "detail", failure.detail(), "running", this.admission.running(), "waiting",
				this.admission.waiting(), "left_ms", ask.request().remainingMillis());
		return new SendOutcome.NotRun(failure, false);
	}

	private Promise<SendOutcome> enqueue(long number, Order order) {
		Waiting queued = new Waiting(order, new SettablePromise<>());
		this.waiting.put(number, queued);
		order.cancellation.addCancelListener(() -> {
			if (this.admission.cancelWaiting(number)) {
				refuse(new RefusedRequest(number, Failure.of(ErrorKind.DEADLINE_PASSED, "the caller is gone")));
			}
		});
		expireSoon();
		return queued.outcome;
	}

	private Promise<SendOutcome> start(long number, Order order) {
		long now = System.nanoTime();
		Optional<Failure> closed = suspect(order.ask).or(() -> unservable(order.ask, now));
		if (closed.isPresent() || this.registration.incarnation().isEmpty() || order.cancellation.isCancelled()) {
			finished(number, RunOutcome.NOT_STARTED);
			Failure why = closed.orElseGet(() -> Failure.of(ErrorKind.DEADLINE_PASSED, "nobody waits for it"));
			return Promise.of(turnedAway(order.ask, why));
		}
		return send(number, order, this.registration.incarnation().get(), now);
	}

	private Promise<SendOutcome> send(long number, Order order, BackendIncarnation to, long now) {
		int remaining = (int) Math.max(1, (order.deadlineNanos - now) / NANOS_PER_MILLI);
		BackendRequest written = new BackendRequest(order.ask.request(), order.ask.caller(), to, remaining);
		this.crashes.onRequestStarted(order.ask.request());
		BackendPool.BackendRun run = this.pool.run(this.protocol.request(written), order.ask.idempotent(),
				(answer) -> this.protocol.verdict(written, answer) != BackendProtocol.Verdict.OTHER_REQUEST,
				() -> mayBeSent(order, to));
		ScheduledRunnable timeout = this.reactor.delay(remaining + 1L, run::giveUp);
		// A posting that runs is left to end: its caller's leaving doesn't undo it, and
		// what is broken off halfway nobody can tell the outcome of.
		if (order.ask.idempotent()) {
			order.cancellation.addCancelListener(run::giveUp);
		}
		return run.reply().map((reply) -> {
			timeout.cancel();
			this.crashes.onRequestEnded(order.ask.request());
			noteCrash(written, now, reply);
			return ended(number, written, order, reply);
		});
	}

	private void noteCrash(BackendRequest written, long sentNanos, BackendReply reply) {
		switch (reply) {
			case BackendReply.Whole(Answer answer) -> {
				if (this.protocol.verdict(written, answer) != BackendProtocol.Verdict.NOT_RUN) {
					this.crashes.onAnswer(written.incarnation(), written.request(), sentNanos);
				}
			}
			case BackendReply.Broken ignored -> this.crashes.onConnectionLost(written.incarnation(), written.request());
			case BackendReply.Garbled ignored ->
				this.crashes.onConnectionLost(written.incarnation(), written.request());
			case BackendReply.Closed ignored -> this.crashes.onPortClosed(written.incarnation());
			case BackendReply.NotSent ignored -> {
				// It says nothing of the server.
			}
			case BackendReply.GivenUp ignored -> {
				// Neither does this.
			}
		}
	}

	// A connection may take as long to open as a leaving server may still be given work.
	private boolean mayBeSent(Order order, BackendIncarnation to) {
		return this.registration.incarnation().equals(Optional.of(to))
				&& unservable(order.ask, System.nanoTime()).isEmpty();
	}

	private SendOutcome ended(long number, BackendRequest written, Order order, BackendReply reply) {
		SendOutcome outcome = outcome(written, order, reply);
		this.registration.onConnectionAttempt(!(reply instanceof BackendReply.Closed));
		finished(number, runOutcome(outcome, reply));
		if (!(outcome instanceof SendOutcome.Answered)) {
			this.log.record(MeshEvent.ORDER_FAILED, "request", order.ask.request().id(), "life", written.incarnation(),
					"reply", reply, "outcome", outcome.getClass().getSimpleName());
		}
		return outcome;
	}

	private SendOutcome outcome(BackendRequest written, Order order, BackendReply reply) {
		return switch (reply) {
			case BackendReply.Whole(Answer answer) ->
				(this.protocol.verdict(written, answer) == BackendProtocol.Verdict.NOT_RUN)
						? new SendOutcome.NotRun(
								new Failure(ErrorKind.OVERLOADED, "the backend server declined it", RETRY_SOON), true)
						: new SendOutcome.Answered(answer);
			case BackendReply.NotSent(String reason) ->
				new SendOutcome.NotRun(Failure.of(ErrorKind.NO_BACKEND, reason), false);
			case BackendReply.Closed ignored ->
				new SendOutcome.NotRun(Failure.of(ErrorKind.NO_BACKEND, "the backend server's port is closed"), false);
			case BackendReply.Broken(String reason) -> unknown(ErrorKind.OUTCOME_UNKNOWN, reason);
			case BackendReply.Garbled(String reason) -> unknown(ErrorKind.BAD_ANSWER, reason);
			case BackendReply.GivenUp ignored -> unknown(ErrorKind.TIMED_OUT, order.cancellation.isCancelled()
					? "nobody waits for it any more" : "the deadline passed while the backend server had it");
		};
	}

	private static SendOutcome unknown(ErrorKind kind, String detail) {
		return new SendOutcome.Unknown(Failure.of(kind, detail));
	}

	private static RunOutcome runOutcome(SendOutcome outcome, BackendReply reply) {
		return switch (outcome) {
			case SendOutcome.Answered ignored -> RunOutcome.ANSWERED;
			// Slots are counted exactly here, so a server that declines is at fault and
			// not full. Taken for full, a server that declined half of all requests at
			// random was given ever fewer, and a half of what it could run went unserved.
			case SendOutcome.NotRun ignored -> RunOutcome.NOT_STARTED;
			case SendOutcome.Unknown ignored ->
				(reply instanceof BackendReply.GivenUp) ? RunOutcome.INTERRUPTED : RunOutcome.NOT_STARTED;
		};
	}

	private void finished(long number, RunOutcome outcome) {
		carryOut(this.admission.finished(number, outcome, System.nanoTime()));
	}

	private void carryOut(NextRequests next) {
		next.refused().forEach(this::refuse);
		for (long number : next.run()) {
			Waiting queued = this.waiting.remove(number);
			if (queued == null) {
				finished(number, RunOutcome.NOT_STARTED);
			}
			else {
				start(number, queued.order).whenResult(queued.outcome::trySet);
			}
		}
	}

	private void refuse(RefusedRequest refused) {
		Waiting queued = this.waiting.remove(refused.id());
		if (queued != null) {
			queued.outcome.trySet(turnedAway(queued.order.ask, refused.failure()));
		}
	}

	// Looks for what can no longer make its deadline, as long as anything waits.
	private void expireSoon() {
		if (this.expiring) {
			return;
		}
		this.expiring = true;
		this.reactor.delay(LOOK_AGAIN, () -> {
			this.expiring = false;
			carryOut(this.admission.advance(System.nanoTime()));
			if (this.admission.waiting() > 0) {
				expireSoon();
			}
		});
	}

	// How many lookups a second all slots together can run, from how long one took
	// lately.
	double lookupsPerSecond() {
		long runNanos = Math.max(NANOS_PER_MILLI, this.admission.meanRunNanos(RequestClass.LOOKUP));
		return this.registration.slots() * NANOS_PER_SECOND / runNanos;
	}

	boolean idle() {
		return this.admission.running() == 0 && this.admission.waiting() == 0;
	}

	List<Integer> load() {
		return List.of(this.admission.running(), this.admission.waiting());
	}

	private record Order(HopRequest ask, Cancellation cancellation, long deadlineNanos) {
	}

	private record Waiting(Order order, SettablePromise<SendOutcome> outcome) {
	}

}
