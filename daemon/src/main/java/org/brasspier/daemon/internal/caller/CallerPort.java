package org.brasspier.daemon.internal.caller;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.activej.async.exception.AsyncTimeoutException;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.document.ServiceCatalog;
import org.brasspier.core.event.EventKind;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.core.routing.Assignment;
import org.brasspier.core.routing.OwnershipSnapshot;
import org.brasspier.daemon.internal.DaemonContext;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.loop.WholeBody;
import org.brasspier.daemon.internal.measure.OutcomeMeter;
import org.brasspier.daemon.internal.request.Cancellation;
import org.brasspier.daemon.internal.request.Outcome;
import org.brasspier.daemon.internal.request.RequestRouter;

/**
 * Serves callers: {@code /v1/SERVICE/PATH}, with the parameters of the request in header
 * fields that begin with {@code Brasspier-}. Not thread-safe; confined to the request
 * thread.
 */
public final class CallerPort implements AsyncServlet {

	/**
	 * A caller that stops sending within the head or body is disconnected after this
	 * time.
	 */
	private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);

	/** Longer than a caller may reuse a connection, see {@link CallerListener}. */
	private static final Duration KEEP_ALIVE = Duration.ofSeconds(60);

	private static final HttpHeaderValue REUSE = HttpHeaderValue.of("timeout=" + CallerListener.REUSE.toSeconds());

	private static final HttpHeader KEEP_ALIVE_FIELD = HttpHeaders.of("Keep-Alive");

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final RequestRouter router;

	private final RequestReader reader;

	private final Supplier<OwnershipSnapshot> ownership;

	private final EventLog events;

	private final OutcomeMeter outcomes;

	private final CallerConnections connections;

	private final int maxBodyBytes;

	private final Counter answered;

	private final Map<ErrorKind, Counter> failed = new EnumMap<>(ErrorKind.class);

	private boolean leaving;

	/**
	 * Creates the port's servlet.
	 * @param context the shared services and settings of the daemon
	 * @param router routes the requests
	 * @param ownership the current owners and their addresses
	 * @param catalog the services of the document in force
	 */
	public CallerPort(DaemonContext context, RequestRouter router, Supplier<OwnershipSnapshot> ownership,
			Supplier<ServiceCatalog> catalog) {
		this.router = router;
		this.reader = new RequestReader(catalog);
		this.ownership = ownership;
		this.events = context.events();
		this.outcomes = context.outcomes();
		this.connections = new CallerConnections(context.events(), context.metrics());
		this.maxBodyBytes = context.settings().limits().maxBodyBytes();
		MetricRegistry metrics = context.metrics();
		this.answered = metrics.counter("requests.answered");
		for (ErrorKind kind : ErrorKind.values()) {
			this.failed.put(kind, metrics.counter("requests.failed." + kind.name()));
		}
	}

	/**
	 * Builds the server for callers.
	 * @param reactor the reactor of the request thread
	 * @param context provides the address and the maximum duration of a planned stop
	 * @return the listener, not yet listening
	 */
	public CallerListener listenOn(NioReactor reactor, DaemonContext context) {
		HttpServer server = HttpServer.builder(reactor, this)
			.withReadWriteTimeout(READ_TIMEOUT)
			.withKeepAliveTimeout(KEEP_ALIVE)
			.withServeTimeoutShutdown(Duration.ofMillis(context.settings().limits().maxLeaveMillis()))
			.withSocketInspector(this.connections.sockets())
			.withInspector(this.connections)
			.withHttpErrorFormatter((ex) -> Promise.of(internalError(ex)))
			.build();
		return new CallerListener(reactor, server, context.settings().listen().callers());
	}

	/**
	 * Closes the connection with each later answer, so that callers go elsewhere.
	 */
	public void leave() {
		this.leaving = true;
	}

	@Override
	public Promise<HttpResponse> serve(HttpRequest request) {
		long startNanos = System.nanoTime();
		Either<Failure, RequestReader.Addressed> addressed = this.reader.address(request);
		if (addressed.isLeft()) {
			return refuse(addressed.getLeft());
		}
		int maxBytes = Math.min(this.maxBodyBytes, addressed.get().policy().maxBodyBytes());
		if (declaredLength(request) > maxBytes) {
			return refuse(tooLarge(maxBytes));
		}
		return Promises.timeout(READ_TIMEOUT, WholeBody.read(request, maxBytes))
			.then((body) -> serve(request, addressed.get(), body, startNanos),
					(ex) -> refuse(unreadable(ex, maxBytes)));
	}

	private static long declaredLength(HttpRequest request) {
		String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
		return (length != null && length.matches("[0-9]{1,18}")) ? Long.parseLong(length) : 0;
	}

	private static Failure tooLarge(int maxBytes) {
		return Failure.of(ErrorKind.BODY_TOO_LARGE, "the body is larger than %d bytes".formatted(maxBytes));
	}

	private static Failure unreadable(Exception ex, int maxBytes) {
		if (ex instanceof WholeBody.TooLargeException) {
			return tooLarge(maxBytes);
		}
		String why = (ex instanceof AsyncTimeoutException) ? "it did not come in time"
				: String.valueOf(ex.getMessage());
		return Failure.of(ErrorKind.BAD_REQUEST, "the body could not be read: " + why);
	}

	private Promise<HttpResponse> serve(HttpRequest http, RequestReader.Addressed to, byte[] body, long startNanos) {
		long spentMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
		Either<Failure, CallerRequest> read = this.reader.read(http, to, body, spentMillis);
		if (read.isLeft()) {
			return refuse(read.getLeft());
		}
		CallerRequest request = read.get();
		Cancellation cancellation = this.connections.begin(http.getConnection());
		return this.router.route(request, cancellation).map((outcome) -> {
			this.connections.end(http.getConnection());
			count(request, outcome);
			return finish(AnswerWriter.write(request, outcome, owner(request)), this.leaving);
		});
	}

	private void count(CallerRequest request, Outcome outcome) {
		switch (outcome) {
			case Outcome.Answered ignored -> {
				this.answered.inc();
				this.outcomes.countAnswered(request.service());
			}
			case Outcome.Failed failure -> {
				count(failure.failure().kind());
				this.outcomes.countFailed(request.service(), failure.failure().kind());
				this.events.record(EventKind.REQUEST_REFUSED, request,
						failure.failure().kind() + ": " + failure.failure().detail());
			}
		}
	}

	private void count(ErrorKind kind) {
		Counter counter = this.failed.get(kind);
		if (counter != null) {
			counter.inc();
		}
	}

	// Refuses a request that can't be read. Its connection is not reused, since the
	// rest of the body may still be in transit.
	private Promise<HttpResponse> refuse(Failure failure) {
		count(failure.kind());
		this.events.record(EventKind.BAD_CALLER_INPUT, "caller port", failure.kind() + ": " + failure.detail());
		return Promise.of(finish(AnswerWriter.failed(failure, failure.kind().ran()), true));
	}

	private HttpResponse internalError(Exception ex) {
		count(ErrorKind.INTERNAL_ERROR);
		this.events.record(EventKind.REQUEST_REFUSED, "caller port", "internal error: " + ex);
		Failure failure = Failure.of(ErrorKind.INTERNAL_ERROR, "the daemon failed to serve the request");
		return finish(AnswerWriter.failed(failure, failure.kind().ran()), true);
	}

	private static HttpResponse finish(HttpResponse.Builder builder, boolean close) {
		return (close) ? builder.withHeader(HttpHeaders.CONNECTION, HttpHeaderValue.of("close")).build()
				: builder.withHeader(KEEP_ALIVE_FIELD, REUSE).build();
	}

	private Optional<String> owner(CallerRequest request) {
		OwnershipSnapshot snapshot = this.ownership.get();
		return snapshot.routes()
			.find(request.service(), request.keyHash())
			.map(Assignment::owner)
			.flatMap(snapshot.addresses()::find)
			.map((address) -> address.host() + ":" + address.callerPort());
	}

}
