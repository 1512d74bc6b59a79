package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.mesh.LoopLag;
import org.brasspier.core.mesh.RetryAfter;
import org.brasspier.core.mesh.RouteRule;
import org.brasspier.core.mesh.RoutingConfig;
import org.brasspier.core.mesh.SendOutcome;
import org.brasspier.core.request.Answer;
import org.brasspier.core.returns.RefusalCause;
import org.brasspier.core.returns.ReturnMemory;
import org.brasspier.core.returns.ReturnStatus;
import org.brasspier.core.returns.ReturnTime;
import org.brasspier.core.stop.StopPlan;
import org.brasspier.daemon.internal.http.CallerServer;
import org.brasspier.daemon.internal.request.Cancellation;
import org.brasspier.daemon.mesh.CallerProtocol;
import org.brasspier.daemon.mesh.MeshRequest;
import org.brasspier.daemon.mesh.RawRequest;

/**
 * Serves the requests of callers on this instance, for which this daemon is the entry
 * daemon. Not thread-safe: confined to the request thread.
 */
final class MeshEntry implements CallerServer.Handler {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final CallerProtocol protocol;

	private final Supplier<RoutingConfig> config;

	private final Dispatcher dispatcher;

	private final MeshLog log;

	private final MetricRegistry metrics;

	private final LagTimer lag;

	private final ReturnMemory returns = new ReturnMemory();

	private Optional<StopPlan> stopPlan = Optional.empty();

	private int open;

	MeshEntry(CallerProtocol protocol, Supplier<RoutingConfig> config, Dispatcher dispatcher, LagTimer lag, MeshLog log,
			MetricRegistry metrics) {
		this.protocol = protocol;
		this.config = config;
		this.dispatcher = dispatcher;
		this.lag = lag;
		this.log = log;
		this.metrics = metrics;
	}

	// Takes only requests that fit into the plan from now on.
	void stop(StopPlan plan) {
		this.stopPlan = Optional.of(plan);
	}

	// Returns the number of requests that are not answered yet.
	int openRequests() {
		return this.open;
	}

	@Override
	public Promise<Answer> serve(RawRequest raw, Cancellation cancellation) {
		long startNanos = System.nanoTime();
		Either<Failure, MeshRequest> parsed = this.protocol.request(raw);
		if (parsed.isLeft()) {
			malformed(parsed.getLeft().detail());
			return Promise.of(failed(raw, parsed.getLeft()));
		}
		LoopLag lag = this.lag.onRequest(startNanos);
		MeshRequest request = parsed.get()
			.withRemainingMillis(lag.remainingMillis(parsed.get().remainingMillis(), startNanos));
		RoutingConfig inForce = this.config.get();
		if (!inForce.isKnown()) {
			return Promise.of(reject(raw, request,
					Failure.of(ErrorKind.NO_CONFIGURATION, "no configuration has been received yet")));
		}
		Optional<RouteRule> route = inForce.route(request.host(), request.path());
		if (route.isEmpty()) {
			return Promise.of(reject(raw, request, Failure.of(ErrorKind.NO_ROUTE,
					"no route of configuration %d takes it".formatted(inForce.version()))));
		}
		if (lag.shouldShed(startNanos)) {
			return Promise.of(reject(raw, request,
					new Failure(ErrorKind.OVERLOADED, "this daemon is overloaded: its event loop lags behind",
							Duration.ofNanos(lag.lagNanos(startNanos)))));
		}
		return switch (stopDecision(request, route.get(), startNanos)) {
			case StopPlan.Decision.Refuse(Duration untilEnd) ->
				Promise.of(reject(raw, request, new Failure(ErrorKind.NO_BACKEND,
						"this daemon is stopping and may end before the request does", untilEnd)));
			case StopPlan.Decision.Take(Duration remaining) -> dispatch(raw,
					request.withRemainingMillis((int) remaining.toMillis()), route.get(), cancellation, startNanos);
		};
	}

	private StopPlan.Decision stopDecision(MeshRequest request, RouteRule route, long now) {
		Duration remaining = Duration.ofMillis(request.remainingMillis());
		Duration longest = (remaining.compareTo(route.timeout()) < 0) ? remaining : route.timeout();
		return this.stopPlan.map((plan) -> plan.decide(route.idempotent(), longest, route.targetLatency(), now))
			.orElse(new StopPlan.Decision.Take(remaining));
	}

	private Promise<Answer> dispatch(RawRequest raw, MeshRequest request, RouteRule route, Cancellation cancellation,
			long startNanos) {
		this.open++;
		ReturnStatus status = returnStatus(request, route, startNanos);
		return this.dispatcher.dispatch(request, route, status, cancellation).map((outcome) -> {
			this.open--;
			cancellation.elapsed(System.nanoTime())
				.ifPresent((elapsed) -> logCallerLeft(request, route, outcome, elapsed, startNanos));
			return answer(raw, request, route, status, withoutFalsePromise(outcome), startNanos);
		});
	}

	// A server may answer a request that it has run with a status that tells the caller
	// the opposite. The caller would send the request again, and it would run twice.
	private SendOutcome withoutFalsePromise(SendOutcome outcome) {
		return switch (outcome) {
			case SendOutcome.Answered(Answer answer) when this.protocol.promisesNotRun(answer.status()) ->
				new SendOutcome.Unknown(Failure.of(ErrorKind.BAD_ANSWER,
						"the backend server ran the request and answered status " + answer.status()));
			default -> outcome;
		};
	}

	// Where no refusal is remembered, nothing is hashed.
	private ReturnStatus returnStatus(MeshRequest request, RouteRule route, long now) {
		if (this.returns.isEmpty()) {
			return ReturnStatus.NEW;
		}
		ReturnStatus status = this.returns.onRequest(returnHash(request, route), now);
		if (status != ReturnStatus.NEW) {
			this.metrics.counter((status == ReturnStatus.ON_TIME) ? "returns.on_time" : "returns.early").inc();
		}
		return status;
	}

	// The query is left out, since callers may change it with each attempt.
	private static long returnHash(MeshRequest request, RouteRule route) {
		return request.fingerprint(route.services().getFirst().service()).resource() + request.key().orElse(-1);
	}

	private Answer reject(RawRequest raw, MeshRequest request, Failure failure) {
		this.log.record(MeshEvent.REQUEST_REFUSED, "request", request.id(), "reason", failure.kind(), "detail",
				failure.detail(), "config", this.config.get().version());
		this.metrics.counter("requests.failed.not_run." + failure.kind()).inc();
		boolean retryable = failure.kind() != ErrorKind.NO_ROUTE;
		return this.protocol.failureAnswer(raw,
				retryable ? withRetryAfter(failure, request.remainingMillis()) : failure);
	}

	private Answer answer(RawRequest raw, MeshRequest request, RouteRule route, ReturnStatus status,
			SendOutcome outcome, long startNanos) {
		long tookMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
		this.metrics.histogram("request.millis").update(tookMillis);
		this.metrics.counter(outcomeCounter(outcome)).inc();
		return switch (outcome) {
			case SendOutcome.Answered(Answer answer) -> {
				log(MeshEvent.REQUEST_ANSWERED, request, route, "status " + answer.status(), tookMillis);
				recordServed(request, route, status);
				yield this.protocol.relayedAnswer(answer);
			}
			case SendOutcome.NotRun(Failure failure, boolean reached) -> {
				Failure told = withRetryAfter(failure, request.remainingMillis() - (int) tookMillis);
				Failure answered = RefusalCause.isForCapacity(failure)
						? remembered(told, request, route, status, request.remainingMillis() - tookMillis) : told;
				logRefusal(request, route, Dispatcher.describe(outcome), tookMillis, status, answered);
				yield this.protocol.failureAnswer(raw, answered);
			}
			case SendOutcome.Unknown(Failure failure) -> {
				log(MeshEvent.REQUEST_FAILED, request, route, Dispatcher.describe(outcome), tookMillis);
				yield this.protocol.failureAnswer(raw, failure);
			}
		};
	}

	private void recordServed(MeshRequest request, RouteRule route, ReturnStatus status) {
		switch (status) {
			case ON_TIME -> this.metrics.counter("returns.on_time_answered").inc();
			case EARLY -> this.returns.onEarlyServed(returnHash(request, route));
			case NEW -> {
			}
		}
	}

	// Remembers when the caller may come back. One that came early keeps the time that it
	// was told before.
	private Failure remembered(Failure told, MeshRequest request, RouteRule route, ReturnStatus status,
			long remainingMillis) {
		this.metrics.counter("refusals." + RefusalCause.of(told, status).name().toLowerCase(Locale.ROOT)).inc();
		long now = System.nanoTime();
		long hash = returnHash(request, route);
		Optional<Long> kept = (status == ReturnStatus.EARLY) ? this.returns.onEarlyRefused(hash, now)
				: Optional.empty();
		if (kept.isPresent()) {
			return new Failure(told.kind(), told.detail(), Duration.ofNanos(kept.get() - now));
		}
		if (ReturnTime.mayComeBack(told.retryAfter(), Duration.ofMillis(Math.max(0, remainingMillis)))) {
			this.returns.onRefused(hash, now + told.retryAfter().toNanos(), now);
		}
		return told;
	}

	// One counter for each kind of error. The kinds are a closed list, so the number of
	// counters is bounded.
	private static String outcomeCounter(SendOutcome outcome) {
		return switch (outcome) {
			case SendOutcome.Answered ignored -> "requests.answered";
			case SendOutcome.NotRun(Failure failure, boolean reached) -> "requests.failed.not_run." + failure.kind();
			case SendOutcome.Unknown(Failure failure) -> "requests.failed." + failure.kind();
		};
	}

	private void log(MeshEvent event, MeshRequest request, RouteRule route, String outcome, long tookMillis) {
		this.log.record(event, "request", request.id(), "route", route.name(), "key", request.key().orElse(-1),
				"outcome", outcome, "took_ms", tookMillis, "deadline_ms", request.remainingMillis(), "config",
				this.config.get().version());
	}

	private void logCallerLeft(MeshRequest request, RouteRule route, SendOutcome outcome, Duration elapsed,
			long startNanos) {
		long tookMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
		this.log.record(MeshEvent.CALLER_LEFT, "request", request.id(), "route", route.name(), "idempotent",
				route.idempotent(), "outcome", Dispatcher.describe(outcome), "left_after_ms",
				tookMillis - elapsed.toMillis(), "ended_after_ms", elapsed.toMillis(), "deadline_ms",
				request.remainingMillis());
	}

	private void logRefusal(MeshRequest request, RouteRule route, String outcome, long tookMillis, ReturnStatus status,
			Failure answered) {
		this.log.record(MeshEvent.REQUEST_REFUSED, "request", request.id(), "route", route.name(), "key",
				request.key().orElse(-1), "outcome", outcome, "took_ms", tookMillis, "deadline_ms",
				request.remainingMillis(), "config", this.config.get().version(), "return", status, "retry_after_ms",
				answered.retryAfter().toMillis());
	}

	private static Failure withRetryAfter(Failure failure, int remainingMillis) {
		Duration pause = RetryAfter.of(failure.retryAfter(), Duration.ofMillis(Math.max(1, remainingMillis)));
		return new Failure(failure.kind(), failure.detail(), pause);
	}

	@Override
	public Answer failed(RawRequest raw, Failure failure) {
		return this.protocol.failureAnswer(raw, failure);
	}

	@Override
	public Answer abandoned(RawRequest raw) {
		Failure failure = Failure.of(ErrorKind.DEADLINE_PASSED, "the caller left before the request was dispatched");
		this.log.record(MeshEvent.CALLER_LEFT, "request", this.protocol.request(raw).map(MeshRequest::id).getOrElse(""),
				"outcome", "not run, " + failure.kind() + ": " + failure.detail(), "left_after_ms", 0, "ended_after_ms",
				0);
		return failed(raw, failure);
	}

	@Override
	public void malformed(String detail) {
		this.metrics.counter("callers.malformed").inc();
		this.log.record(MeshEvent.BAD_CALLER_INPUT, "detail", detail);
	}

}
