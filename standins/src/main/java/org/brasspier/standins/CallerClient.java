package org.brasspier.standins;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

import io.activej.async.exception.AsyncTimeoutException;
import io.activej.bytebuf.ByteBuf;
import io.activej.dns.DnsClient;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import org.jspecify.annotations.Nullable;

/**
 * Sends single requests to a daemon and records the outcome of each. Belongs to one
 * thread.
 */
final class CallerClient {

	/** Callers wait this much longer than the deadline that they send. */
	private static final int GRACE_MILLIS = 300;

	/**
	 * Daemons keep idle connections for two seconds ({@code Keep-Alive} in their
	 * answers); the library checks for idle connections only once a second.
	 */
	private static final Duration KEEP_ALIVE = Duration.ofMillis(500);

	/**
	 * A connection that is idle for this much longer than the longest attempt is closed.
	 */
	private static final Duration IDLE_GRACE = Duration.ofMillis(500);

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private final HttpClient http;

	private final long delayMillis;

	/**
	 * Creates a client.
	 * @param reactor the thread's reactor
	 * @param delayMillis one-way delay to the daemons, in milliseconds; it is applied
	 * here and not in the proxy, so that a refused connection is recognized as refused
	 * @param attemptMillis longest duration of an attempt
	 */
	CallerClient(NioReactor reactor, long delayMillis, int attemptMillis) {
		this.delayMillis = delayMillis;
		this.http = HttpClient.builder(reactor, DnsClient.create(reactor, new InetSocketAddress("127.0.0.1", 53)))
			.withKeepAliveTimeout(KEEP_ALIVE)
			.withConnectTimeout(CONNECT_TIMEOUT)
			.withReadWriteTimeout(IDLE_GRACE.plusMillis(attemptMillis))
			.build();
	}

	/**
	 * Sends a request.
	 * @param request the request
	 * @param daemon address of the daemon
	 * @param options ticket and deadline of this attempt
	 * @return the outcome; never completes with an exception
	 */
	Promise<Attempt> send(StandInRequest request, InetSocketAddress daemon, AttemptOptions options) {
		int deadlineMillis = options.deadlineMillis();
		long sentMicros = ServerHistory.nowMicros();
		Promise<Reply> reply = Promises.delay(this.delayMillis)
			.then(() -> this.http.request(build(request, daemon, options)))
			.then((response) -> response.loadBody().map((body) -> toReply(request, response, body)))
			.then((answer) -> Promises.delay(this.delayMillis, answer));
		return Promises.timeout((long) deadlineMillis + GRACE_MILLIS, reply)
			.then((answer, ex) -> Promise
				.of(toAttempt(request, daemon, sentMicros, (ex != null) ? failedReply(ex) : answer)));
	}

	private static HttpRequest build(StandInRequest request, InetSocketAddress daemon, AttemptOptions options) {
		HttpMethod method = (request.isPosting()) ? HttpMethod.POST : HttpMethod.GET;
		HttpRequest.Builder builder = HttpRequest
			.builder(method, "http://" + Ports.text(daemon) + "/v1/" + request.service() + request.path())
			.withHeader(HttpHeaders.of("Brasspier-Request-Id"), request.id())
			.withHeader(HttpHeaders.of("Brasspier-Class"), request.requestClass())
			.withHeader(HttpHeaders.of("Brasspier-Caller"), request.caller())
			.withHeader(HttpHeaders.of("Brasspier-Deadline-Millis"), Integer.toString(options.deadlineMillis()))
			.withHeader(HttpHeaders.of("Brasspier-Attempt"), options.mayHaveRun() ? "2" : "1");
		if (!request.key().isEmpty()) {
			builder.withHeader(HttpHeaders.of("Brasspier-Key"), request.key());
		}
		if (!options.ticket().isEmpty()) {
			builder.withHeader(HttpHeaders.of("Brasspier-Ticket"), options.ticket());
		}
		if (request.isPosting()) {
			builder.withBody("{\"posting\": \"%s\"}".formatted(request.id()));
		}
		return builder.build();
	}

	private static Reply toReply(StandInRequest request, HttpResponse response, ByteBuf body) {
		String ran = header(response, "Brasspier-Ran").toLowerCase(Locale.ROOT);
		String retryAfter = header(response, "Brasspier-Retry-After-Millis");
		boolean matchesRequest = EchoedAnswer.isCompleteAnswer(body.getString(StandardCharsets.UTF_8), request.id(),
				request.key(), request.padding());
		return new Reply(response.getCode(), (ran.isEmpty()) ? Attempt.UNKNOWN : ran,
				header(response, "Brasspier-Error"), matchesRequest, header(response, "Brasspier-Ticket"),
				(retryAfter.matches("[0-9]{1,6}")) ? Integer.parseInt(retryAfter) : 0);
	}

	private static String header(HttpResponse response, String name) {
		return Optional.ofNullable(response.getHeader(HttpHeaders.of(name))).orElse("");
	}

	private static Reply failedReply(Exception ex) {
		boolean refused = hasCause(ex, ConnectException.class);
		String error = (ex instanceof AsyncTimeoutException) ? "no answer in time" : String.valueOf(ex);
		return new Reply(0, (refused) ? Attempt.NOT_RUN : Attempt.UNKNOWN, error, false, "", 0);
	}

	private static boolean hasCause(@Nullable Throwable ex, Class<? extends Throwable> type) {
		return ex != null && (type.isInstance(ex) || hasCause(ex.getCause(), type));
	}

	private static Attempt toAttempt(StandInRequest request, InetSocketAddress daemon, long sentMicros, Reply reply) {
		return new Attempt(request.id(), daemon, sentMicros, ServerHistory.nowMicros(), reply.status, reply.ran,
				reply.error, reply.matchesRequest, reply.ticket, reply.retryAfterMillis);
	}

	/**
	 * Ticket and deadline of one attempt.
	 *
	 * @param ticket the ticket, empty if none
	 * @param mayHaveRun whether an earlier attempt may have run
	 * @param deadlineMillis how long the answer may take, in milliseconds
	 */
	record AttemptOptions(String ticket, boolean mayHaveRun, int deadlineMillis) {

	}

	/**
	 * The answer to an attempt, or the reason why there is none.
	 *
	 * @param status see {@link Attempt}
	 * @param ran see {@link Attempt}
	 * @param error see {@link Attempt}
	 * @param matchesRequest see {@link Attempt}
	 * @param ticket see {@link Attempt}
	 * @param retryAfterMillis see {@link Attempt}
	 */
	private record Reply(int status, String ran, String error, boolean matchesRequest, String ticket,
			int retryAfterMillis) {

	}

}
