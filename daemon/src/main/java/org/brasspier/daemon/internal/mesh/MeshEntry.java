package org.brasspier.daemon.internal.mesh;

import java.time.Duration;
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
import org.brasspier.daemon.internal.http.CallerServer;
import org.brasspier.daemon.internal.request.Cancellation;
import org.brasspier.daemon.mesh.CallerProtocol;
import org.brasspier.daemon.mesh.MeshRequest;
import org.brasspier.daemon.mesh.RawRequest;

/**
 * Serves the requests that begin on this instance. Belongs to the thread of requests.
 */
final class MeshEntry implements CallerServer.Handler {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final CallerProtocol protocol;

	private final Supplier<RoutingConfig> config;

	private final Dispatcher dispatcher;

	private final MeshLog log;

	private final MetricRegistry metrics;

	private final LagTimer lag;

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

	// How many requests are not answered yet.
	int openRequests() {
		return this.open;
	}

	@Override
	public Promise<Answer> serve(RawRequest raw, Cancellation cancellation) {
		long begun = System.nanoTime();
		Either<Failure, MeshRequest> read = this.protocol.request(raw);
		if (read.isLeft()) {
			malformed(read.getLeft().detail());
			return Promise.of(failed(raw, read.getLeft()));
		}
		LoopLag lag = this.lag.onRequest(begun);
		MeshRequest request = read.get().withRemainingMillis(lag.remainingMillis(read.get().remainingMillis(), begun));
		RoutingConfig inForce = this.config.get();
		if (!inForce.isKnown()) {
			return Promise
				.of(refused(raw, request, Failure.of(ErrorKind.NO_CONFIGURATION, "no configuration is known yet")));
		}
		Optional<RouteRule> route = inForce.route(request.host(), request.path());
		if (route.isEmpty()) {
			return Promise.of(refused(raw, request, Failure.of(ErrorKind.NO_ROUTE,
					"no route of configuration %d takes it".formatted(inForce.version()))));
		}
		if (lag.shouldShed(begun)) {
			return Promise.of(refused(raw, request, new Failure(ErrorKind.OVERLOADED,
					"this daemon is behind with its work", Duration.ofNanos(lag.lagNanos(begun)))));
		}
		this.open++;
		return this.dispatcher.dispatch(request, route.get(), cancellation).map((outcome) -> {
			this.open--;
			return answer(raw, request, route.get(), outcome, begun);
		});
	}

	private Answer refused(RawRequest raw, MeshRequest request, Failure failure) {
		this.log.record(MeshEvent.REQUEST_REFUSED, "request", request.id(), "reason", failure.kind(), "detail",
				failure.detail(), "config", this.config.get().version());
		this.metrics.counter("requests.failed.not_run." + failure.kind()).inc();
		boolean later = failure.kind() != ErrorKind.NO_ROUTE;
		return this.protocol.failureAnswer(raw, later ? withPause(failure, request.remainingMillis()) : failure);
	}

	private Answer answer(RawRequest raw, MeshRequest request, RouteRule route, SendOutcome outcome, long begun) {
		long tookMillis = (System.nanoTime() - begun) / NANOS_PER_MILLI;
		this.metrics.histogram("request.millis").update(tookMillis);
		this.metrics.counter(outcomeName(outcome)).inc();
		return switch (outcome) {
			case SendOutcome.Answered(Answer answer) -> {
				log(MeshEvent.REQUEST_ANSWERED, request, route, "status " + answer.status(), tookMillis);
				yield this.protocol.relayedAnswer(answer);
			}
			case SendOutcome.NotRun(Failure failure, boolean reached) -> {
				log(MeshEvent.REQUEST_REFUSED, request, route, Dispatcher.describe(outcome), tookMillis);
				yield this.protocol.failureAnswer(raw,
						withPause(failure, request.remainingMillis() - (int) tookMillis));
			}
			case SendOutcome.Unknown(Failure failure) -> {
				log(MeshEvent.REQUEST_FAILED, request, route, Dispatcher.describe(outcome), tookMillis);
				yield this.protocol.failureAnswer(raw, failure);
			}
		};
	}

	// One counter for each kind of error, of which there is a closed list.
	private static String outcomeName(SendOutcome outcome) {
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

	private static Failure withPause(Failure failure, int remainingMillis) {
		Duration pause = RetryAfter.of(failure.retryAfter(), Duration.ofMillis(Math.max(1, remainingMillis)));
		return new Failure(failure.kind(), failure.detail(), pause);
	}

	@Override
	public Answer failed(RawRequest raw, Failure failure) {
		return this.protocol.failureAnswer(raw, failure);
	}

	@Override
	public void malformed(String detail) {
		this.metrics.counter("callers.malformed").inc();
		this.log.record(MeshEvent.BAD_CALLER_INPUT, "detail", detail);
	}

}
