package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
import org.brasspier.core.coldstart.StartLimit;
import org.brasspier.core.evacuation.KeyGracePeriod;
import org.brasspier.core.keys.BackendIncarnation;
import org.brasspier.core.keys.KeyArrival;
import org.brasspier.core.load.GateReport;
import org.brasspier.core.mesh.RouteRule;
import org.brasspier.core.mesh.RoutingConfig;
import org.brasspier.core.mesh.SendOutcome;
import org.brasspier.core.mesh.ServiceRule;
import org.brasspier.daemon.internal.calls.GateCalls;
import org.brasspier.daemon.internal.evacuation.DomainAdmission;
import org.brasspier.daemon.internal.evacuation.EvacuationRows;
import org.brasspier.daemon.internal.exchange.ExchangeId;
import org.brasspier.daemon.internal.exchange.ServerCall;
import org.brasspier.daemon.internal.gate.CancelPlace;
import org.brasspier.daemon.internal.gate.KeyQueue;
import org.brasspier.daemon.internal.gate.ReplyOutcomes;
import org.brasspier.daemon.internal.gate.SequentialHandler;
import org.brasspier.daemon.internal.http.BackendPool;
import org.brasspier.daemon.internal.http.BackendReply;
import org.brasspier.daemon.internal.limit.ServerLimits;
import org.brasspier.daemon.internal.link.AnswerAdmission;
import org.brasspier.daemon.internal.request.Cancellation;
import org.brasspier.daemon.mesh.BackendProtocol;
import org.brasspier.daemon.mesh.BackendRequest;
import org.brasspier.daemon.mesh.MeshSettings;

/**
 * The gate: admission control for the local backend server. All requests to that server
 * pass through this class, so its slots are counted exactly, a request rejected here
 * certainly did not run, and a drain of the server takes effect here at once. Not
 * thread-safe: confined to the request thread.
 */
final class BackendGate {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	/** How often queued requests are checked for expired deadlines. */
	private static final Duration EXPIRY_CHECK_INTERVAL = Duration.ofMillis(5);

	/**
	 * One caller id for all requests, so that they share one queue. The service from
	 * whose instance a request was sent does not identify the caller, and queues for each
	 * of these services would evict requests that have already waited to make room for
	 * those of another service.
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

	private final DomainAdmission domain;

	private final ServerLimits limits;

	private final AnswerAdmission answers;

	private final StartLimit startLimit;

	private final AdmissionController admission;

	private final Map<Long, QueuedRequest> queue = new HashMap<>();

	// A queued request that can't start any more frees its slot for the next one.
	private final SequentialHandler<Long> starts = new SequentialHandler<>(this::startQueued);

	private final KeyQueue keyQueue;

	private final GateChecks checks;

	private final ReplyOutcomes outcomes;

	private final GateCalls calls;

	private long nextNumber = 1;

	private long appliedConfigVersion = -1;

	private Optional<BackendIncarnation> incarnation = Optional.empty();

	private boolean expiryCheckScheduled;

	BackendGate(NioReactor reactor, MeshSettings settings, BackendRegistration registration, BackendPool pool,
			BackendProtocol protocol, Supplier<RoutingConfig> config, EvacuationRows evacuations, KeyOwnership keys,
			BackendCrashes crashes, ServerLimits limits, AnswerAdmission answers, MeshLog log) {
		this.reactor = reactor;
		this.settings = settings;
		this.registration = registration;
		this.pool = pool;
		this.protocol = protocol;
		this.config = config;
		this.keys = keys;
		this.crashes = crashes;
		this.log = log;
		this.domain = new DomainAdmission(evacuations, settings.failureDomain(),
				new KeyGracePeriod(settings.bounds().evacuation(), settings.bounds().configApply()));
		this.keyQueue = new KeyQueue(reactor);
		this.outcomes = new ReplyOutcomes(protocol);
		this.limits = limits;
		this.answers = answers;
		this.calls = new GateCalls(settings.backend().service(), config, this::callRoutesChanged);
		this.startLimit = limits.startLimit();
		this.admission = new AdmissionController(new AdmissionLimits(1, 1), AdmissionSettings.DEFAULT, this.startLimit);
		this.checks = new GateChecks(settings, registration, config, this.domain, keys, crashes,
				(request) -> this.admission.meanRunNanos(request.requestClass(), request.route()));
		registration.addListener(this::backendChanged);
		evacuations.addListener(this::evacuationChanged);
	}

	// The rules of the classes depend on which routes carry calls.
	private void callRoutesChanged(Set<String> before, Set<String> known) {
		this.appliedConfigVersion = -1;
		this.log.record(MeshEvent.CALL_ROUTES_CHANGED, "before", before, "known", known);
	}

	private void backendChanged() {
		if (!this.registration.incarnation().equals(this.incarnation)) {
			this.incarnation = this.registration.incarnation();
			this.pool.forget();
			this.limits.onServerReplaced();
		}
		this.appliedConfigVersion = -1;
		if (!this.registration.ready()) {
			rejectWaiting(this.checks.remainingForKeys(System.nanoTime()));
		}
	}

	private void evacuationChanged() {
		if (this.domain.isEvacuated()) {
			rejectWaiting(this.domain.remainingForKeys(System.nanoTime()));
		}
	}

	// Waiting requests are rejected at once, so that they can still be sent elsewhere;
	// those for keys that the server holds, when the keys had time to move.
	private void rejectWaiting(Duration remainingForKeys) {
		rejectInadmissible();
		this.reactor.delay(remainingForKeys, this::rejectInadmissible);
	}

	private void rejectInadmissible() {
		long now = System.nanoTime();
		Map.copyOf(this.queue)
			.forEach((number, queued) -> this.checks.backendRejection(queued.accepted.hopRequest, now)
				.filter((failure) -> this.admission.cancelWaiting(number))
				.ifPresent((failure) -> rejectQueued(new RefusedRequest(number, failure))));
	}

	private void applyConfig() {
		RoutingConfig current = this.config.get();
		if (current.version() == this.appliedConfigVersion) {
			return;
		}
		this.appliedConfigVersion = current.version();
		int connections = current.service(this.settings.backend().service())
			.map((rule) -> rule.maxConnections())
			.orElse(this.registration.slots());
		this.admission.updateLimits(new AdmissionLimits(this.registration.slots(), connections));
		this.admission.updateRules(
				current.admissionSettings(this.settings.backend().service(), this.calls::requestClass), Map.of());
		this.admission.setCallsKnown(this.calls.anyKnown());
		this.limits.applyColdRule(coldRule());
	}

	private Optional<ServiceRule.ColdStart> coldRule() {
		return this.config.get().service(this.settings.backend().service()).flatMap(ServiceRule::coldStart);
	}

	private void checkWarmth(long now) {
		this.registration.incarnation()
			.ifPresent((server) -> coldRule().ifPresent((rule) -> this.limits.checkWarmth(rule, server, now,
					() -> applyDecisions(this.admission.advance(System.nanoTime())))));
	}

	/**
	 * Runs a request on the backend server, after queueing it if necessary.
	 * @param received the request
	 * @param delayNanos how long it was delayed on its way from another daemon,
	 * nanoseconds
	 * @param cancellation cancelled when the caller no longer waits for the answer
	 * @return the outcome; never completes with an exception
	 */
	Promise<SendOutcome> run(HopRequest received, long delayNanos, Cancellation cancellation) {
		long now = System.nanoTime();
		this.calls.onRequest(received.route(), received.caller(), now);
		HopRequest hopRequest = received
			.withRequestClass(this.calls.requestClass(received.route(), received.requestClass()));
		hopRequest.request().key().ifPresent(this.keys::recordRequest);
		Optional<Failure> rejection = this.checks.rejection(hopRequest, delayNanos, now);
		if (rejection.isEmpty()) {
			return admit(hopRequest, delayNanos, cancellation, now);
		}
		Duration maxWait = maxWaitForKey(hopRequest, rejection.get(), now);
		if (maxWait.isZero() || this.keyQueue.isFull()) {
			return Promise.of(reject(hopRequest, rejection.get()));
		}
		return this.keyQueue.add(new KeyRequest(hopRequest, cancellation, now), maxWait);
	}

	/**
	 * Runs a request of another daemon, whose answer will take up the network link.
	 * @param hopRequest the request
	 * @param delayNanos how long it was delayed on its way, nanoseconds
	 * @param cancellation cancelled when the caller no longer waits for the answer
	 * @return the outcome; never completes with an exception
	 */
	Promise<SendOutcome> runForPeer(HopRequest hopRequest, long delayNanos, Cancellation cancellation) {
		Duration remaining = Duration.ofMillis(hopRequest.request().remainingMillis()).minusNanos(delayNanos);
		// A gate that can't take the request at all says so, whatever its link carries.
		boolean admissible = this.checks.backendRejection(hopRequest, System.nanoTime()).isEmpty();
		return Optional.of(hopRequest)
			.filter((request) -> admissible)
			.flatMap((request) -> this.answers.refusal(request.route(), remaining, targetLatency(request)))
			.map((failure) -> Promise.of(reject(hopRequest, failure)))
			.orElseGet(() -> this.answers.track(hopRequest.route(), run(hopRequest, delayNanos, cancellation)));
	}

	private Optional<Duration> targetLatency(HopRequest hopRequest) {
		return this.config.get()
			.route(hopRequest.request().host(), hopRequest.request().path())
			.filter((rule) -> rule.name().equals(hopRequest.route()))
			.map(RouteRule::targetLatency);
	}

	private Promise<SendOutcome> admit(HopRequest hopRequest, long delayNanos, Cancellation cancellation, long now) {
		applyConfig();
		checkWarmth(now);
		Optional<Failure> throttled = this.calls.refusal(hopRequest.route(), now);
		if (throttled.isPresent()) {
			return Promise.of(reject(hopRequest, throttled.get()));
		}
		// The deadline must not be earlier than the caller's, or a running request would
		// be aborted while its caller still waits. Time spent waiting for this event loop
		// counts as delay on the way.
		long remaining = Math.max(0, hopRequest.request().remainingMillis() - delayNanos / NANOS_PER_MILLI);
		AcceptedRequest accepted = new AcceptedRequest(hopRequest, cancellation, now + remaining * NANOS_PER_MILLI);
		long number = this.nextNumber++;
		PendingRequest pending = new PendingRequest(number, hopRequest.requestClass(), CALLER, accepted.deadlineNanos,
				hopRequest.overdue(), hopRequest.route(),
				this.calls.urgency(hopRequest.route(), hopRequest.requestClass()),
				hopRequest.origin().withoutInstance());
		Optional<Duration> expectedWait = hopRequest.mayQueue() ? Optional.empty()
				: this.admission.expectedQueueWait(pending, now);
		if (expectedWait.isPresent()) {
			return Promise
				.of(reject(hopRequest, new Failure(ErrorKind.NO_FREE_SLOT, "no slot is free", expectedWait.get())));
		}
		return switch (this.admission.offer(pending, now)) {
			case AdmissionDecision.Run ignored -> start(number, accepted);
			case AdmissionDecision.Queued queued -> {
				queued.displaced().ifPresent(this::rejectQueued);
				yield enqueue(number, accepted);
			}
			case AdmissionDecision.Refuse refuse -> Promise.of(reject(hopRequest, refuse.failure()));
		};
	}

	/**
	 * Rejects all new requests, because this process is about to end. Otherwise a daemon
	 * to which others still send requests would never become idle, and the last requests
	 * that it accepted would be cut off at the end of the stop timeout while the server
	 * was running them.
	 */
	void stop() {
		this.checks.stop();
	}

	// Returns how long a request may wait for its key: it is expected here, or about to
	// move to another holder to which the request can then be sent.
	private Duration maxWaitForKey(HopRequest hopRequest, Failure rejection, long now) {
		if (rejection.kind() != ErrorKind.NOT_OWNER || !mayArrive(hopRequest.request().key().getAsInt())) {
			return Duration.ZERO;
		}
		Duration run = Duration.ofNanos(this.admission.meanRunNanos(hopRequest.requestClass(), hopRequest.route()));
		return KeyArrival.maxWait(rejection.retryAfter(), Duration.ofMillis(hopRequest.request().remainingMillis()),
				run);
	}

	private boolean mayArrive(int key) {
		return this.registration.ready() && this.keys.isAssigned(key);
	}

	private SendOutcome reject(HopRequest hopRequest, Failure failure) {
		if (failure.kind() == ErrorKind.OVERLOADED || failure.kind() == ErrorKind.NO_FREE_SLOT) {
			this.limits.onRefused();
		}
		this.log.record(MeshEvent.GATE_TURNED_AWAY, "request", hopRequest.request().id(), "class",
				hopRequest.requestClass(), "reason", failure.kind(), "detail", failure.detail(), "running",
				this.admission.running(), "waiting", this.admission.waiting(), "left_ms",
				hopRequest.request().remainingMillis(), "entry", hopRequest.origin().instance(), "return",
				hopRequest.origin().status(), "retry_after_ms", failure.retryAfter().toMillis());
		return new SendOutcome.NotRun(failure, false);
	}

	private Promise<SendOutcome> enqueue(long number, AcceptedRequest accepted) {
		QueuedRequest queued = new QueuedRequest(accepted, new SettablePromise<>());
		this.queue.put(number, queued);
		accepted.cancellation.addCancelListener(() -> {
			if (this.admission.cancelWaiting(number)) {
				logIfCancelled(accepted, CancelPlace.QUEUE);
				rejectQueued(new RefusedRequest(number, ReplyOutcomes.callerLeft()));
			}
		});
		scheduleExpiryCheck();
		return queued.outcome;
	}

	private Promise<SendOutcome> start(long number, AcceptedRequest accepted) {
		long now = System.nanoTime();
		Optional<Failure> rejection = this.checks.suspectRejection(accepted.hopRequest)
			.or(() -> this.checks.backendRejection(accepted.hopRequest, now));
		if (rejection.isPresent() || this.registration.incarnation().isEmpty() || accepted.cancellation.isCancelled()) {
			logIfCancelled(accepted, CancelPlace.ARRIVING);
			this.startLimit.onNotSent();
			releaseSlot(number, RunOutcome.NOT_STARTED);
			Failure failure = rejection.orElseGet(ReplyOutcomes::callerLeft);
			return Promise.of(reject(accepted.hopRequest, failure));
		}
		return send(number, accepted, this.registration.incarnation().get(), now);
	}

	private Promise<SendOutcome> send(long number, AcceptedRequest accepted, BackendIncarnation incarnation, long now) {
		int remaining = (int) Math.max(1, (accepted.deadlineNanos - now) / NANOS_PER_MILLI);
		BackendRequest backendRequest = new BackendRequest(accepted.hopRequest.request(), accepted.hopRequest.caller(),
				incarnation, remaining);
		this.crashes.onRequestStarted(number, accepted.hopRequest);
		this.calls.onRunStarted(accepted.hopRequest.route(), now);
		Sending sending = new Sending(accepted, incarnation);
		ServerCall call = ServerCall.withId(this.protocol.request(backendRequest), accepted.hopRequest.request().id(),
				accepted.hopRequest.idempotent(), this.protocol::identity);
		BackendPool.BackendRun run = this.pool.run(call, sending::tryBegin);
		ScheduledRunnable timeout = this.reactor.delay(remaining + 1L, run::giveUp);
		// A running request that is not idempotent is not aborted: its effects remain
		// even if the caller is gone, and the outcome of an aborted request is unknown.
		accepted.cancellation.addCancelListener(accepted.hopRequest.idempotent() ? run::giveUp : run::giveUpIfUnsent);
		return run.reply().map((reply) -> {
			timeout.cancel();
			sending.end();
			logIfCancelled(accepted, sending.sent ? CancelPlace.RUNNING : CancelPlace.CONNECTING);
			this.crashes.onRequestEnded(number);
			this.crashes.onReply(
					new SentRequest(accepted.hopRequest, incarnation, run.connectionOpenedNanos().orElse(now), now),
					reply, this.outcomes.ran(backendRequest, reply));
			if (this.registration.incarnation().equals(Optional.of(incarnation))) {
				this.limits.onReply(backendRequest, now, reply);
			}
			return onRequestEnded(number, backendRequest, accepted, reply, run.exchange());
		});
	}

	// Checked again once a connection is open, since opening one may take longer than the
	// time for which a draining server may still be sent requests.
	private boolean maySend(AcceptedRequest accepted, BackendIncarnation incarnation) {
		return !accepted.cancellation.isCancelled() && this.registration.incarnation().equals(Optional.of(incarnation))
				&& this.checks.backendRejection(accepted.hopRequest, System.nanoTime()).isEmpty();
	}

	private SendOutcome onRequestEnded(long number, BackendRequest sent, AcceptedRequest accepted, BackendReply reply,
			Optional<ExchangeId> exchange) {
		SendOutcome outcome = this.outcomes.outcome(sent, accepted.cancellation.isCancelled(), reply);
		this.registration.onConnectionAttempt(!(reply instanceof BackendReply.Closed));
		releaseSlot(number, ReplyOutcomes.runOutcome(outcome, accepted.cancellation.isCancelled(), reply));
		if (!(outcome instanceof SendOutcome.Answered answered)) {
			this.log.record(MeshEvent.ORDER_FAILED, "request", accepted.hopRequest.request().id(), "life",
					sent.incarnation(), "reply", reply, "outcome", outcome.getClass().getSimpleName(), "fingerprint",
					accepted.hopRequest.fingerprint(), "connection", exchange.map(ExchangeId::connection).orElse(0L),
					"exchange", exchange.map(ExchangeId::number).orElse(0L));
		}
		else if (answered.answer().status() >= ErrorKind.INTERNAL_ERROR.status()) {
			this.log.record(MeshEvent.BACKEND_ERROR, "request", accepted.hopRequest.request().id(), "life",
					sent.incarnation(), "status", answered.answer().status(), "connection",
					exchange.map(ExchangeId::connection).orElse(0L), "exchange",
					exchange.map(ExchangeId::number).orElse(0L));
		}
		return outcome;
	}

	private void logIfCancelled(AcceptedRequest accepted, CancelPlace place) {
		logIfCancelled(accepted.hopRequest, accepted.cancellation, place);
	}

	private void logIfCancelled(HopRequest hopRequest, Cancellation cancellation, CancelPlace place) {
		cancellation.elapsed(System.nanoTime())
			.ifPresent((elapsed) -> this.log.record(MeshEvent.REQUEST_CANCELLED, "request", hopRequest.request().id(),
					"route", hopRequest.route(), "place", place, "idempotent", hopRequest.idempotent(),
					"ended_after_ms", elapsed.toMillis()));
	}

	private void releaseSlot(long number, RunOutcome outcome) {
		applyDecisions(this.admission.finished(number, outcome, System.nanoTime()));
	}

	private void applyDecisions(NextRequests next) {
		next.refused().forEach(this::rejectQueued);
		next.run().forEach(this.starts::add);
	}

	private void startQueued(long number) {
		QueuedRequest queued = this.queue.remove(number);
		if (queued == null) {
			this.startLimit.onNotSent();
			releaseSlot(number, RunOutcome.NOT_STARTED);
		}
		else {
			start(number, queued.accepted).whenResult(queued.outcome::trySet);
		}
	}

	private void rejectQueued(RefusedRequest refused) {
		QueuedRequest queued = this.queue.remove(refused.id());
		if (queued != null) {
			queued.outcome.trySet(reject(queued.accepted.hopRequest, refused.failure()));
		}
	}

	// Rejects queued requests that can no longer meet their deadline; reschedules itself
	// as long as any request is queued.
	private void scheduleExpiryCheck() {
		if (this.expiryCheckScheduled) {
			return;
		}
		this.expiryCheckScheduled = true;
		this.reactor.delay(EXPIRY_CHECK_INTERVAL, () -> {
			this.expiryCheckScheduled = false;
			try {
				applyDecisions(this.admission.advance(System.nanoTime()));
			}
			finally {
				if (this.admission.waiting() > 0) {
					scheduleExpiryCheck();
				}
			}
		});
	}

	// Returns how many lookups per second all slots together can run, from the recent run
	// time of a lookup, within the limit that the server names.
	double lookupsPerSecond() {
		long runNanos = Math.max(NANOS_PER_MILLI, this.admission.meanRunNanos(RequestClass.LOOKUP));
		return this.limits.lastingCapacity(this.registration.slots() * NANOS_PER_SECOND / runNanos);
	}

	// Returns what is reported to the daemon that sent a request; empty while the server
	// takes no requests, since an unavailable server would look idle.
	Optional<GateReport> report(HopRequest request) {
		if (!this.registration.ready()) {
			return Optional.empty();
		}
		long now = System.nanoTime();
		RequestClass requestClass = this.calls.requestClass(request.route(), request.requestClass());
		return Optional.of(new GateReport(this.admission.load(this.answers.linkBacklog(), now),
				this.admission.expectedRun(requestClass, request.route(), now),
				this.calls.isCallRoute(request.route())));
	}

	// Returns the outstanding work of the server, in milliseconds.
	long outstandingWorkMillis() {
		return this.admission.load(this.answers.linkBacklog(), System.nanoTime()).workLeft().toMillis();
	}

	GateCalls calls() {
		return this.calls;
	}

	int reservedForCalls() {
		return this.admission.reservedForCalls(System.nanoTime());
	}

	boolean idle() {
		return this.admission.running() == 0 && this.admission.waiting() == 0 && this.keyQueue.size() == 0;
	}

	List<Integer> load() {
		return List.of(this.admission.running(), this.admission.waiting());
	}

	/**
	 * A request that waits for its key.
	 */
	private final class KeyRequest implements KeyQueue.KeyRequest {

		private final HopRequest hopRequest;

		private final Cancellation cancellation;

		private final long receivedNanos;

		KeyRequest(HopRequest hopRequest, Cancellation cancellation, long receivedNanos) {
			this.hopRequest = hopRequest;
			this.cancellation = cancellation;
			this.receivedNanos = receivedNanos;
		}

		@Override
		public boolean mustWait() {
			int key = this.hopRequest.request().key().getAsInt();
			return !this.cancellation.isCancelled() && mayArrive(key) && !BackendGate.this.keys.usable(key);
		}

		@Override
		public Promise<SendOutcome> proceed() {
			if (this.cancellation.isCancelled()) {
				logIfCancelled(this.hopRequest, this.cancellation, CancelPlace.KEY_QUEUE);
				return Promise.of(reject(this.hopRequest, ReplyOutcomes.callerLeft()));
			}
			long now = System.nanoTime();
			int left = this.hopRequest.request().remainingMillis()
					- (int) ((now - this.receivedNanos) / NANOS_PER_MILLI);
			HopRequest later = this.hopRequest.withRemainingMillis(Math.max(0, left));
			return BackendGate.this.checks.rejection(later, 0, now)
				.map((failure) -> Promise.of(reject(later, failure)))
				.orElseGet(() -> admit(later, 0, this.cancellation, now));
		}

	}

	/**
	 * Tells the limits of starting requests when, or that not, a started request was
	 * sent.
	 */
	private final class Sending {

		private final AcceptedRequest accepted;

		private final BackendIncarnation incarnation;

		private boolean sent;

		Sending(AcceptedRequest accepted, BackendIncarnation incarnation) {
			this.accepted = accepted;
			this.incarnation = incarnation;
		}

		boolean tryBegin() {
			if (maySend(this.accepted, this.incarnation)) {
				this.sent = true;
				BackendGate.this.startLimit.onSent(System.nanoTime());
			}
			return this.sent;
		}

		void end() {
			if (!this.sent) {
				BackendGate.this.startLimit.onNotSent();
			}
		}

	}

	private record AcceptedRequest(HopRequest hopRequest, Cancellation cancellation, long deadlineNanos) {
	}

	private record QueuedRequest(AcceptedRequest accepted, SettablePromise<SendOutcome> outcome) {
	}

}
