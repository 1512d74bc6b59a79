package org.brasspier.daemon.internal.backend;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.MalformedHttpException;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import org.brasspier.core.request.Answer;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.core.request.HeaderField;
import org.brasspier.daemon.internal.loop.WholeBody;

/**
 * Sends requests to the backend server of this daemon over HTTP. Each request has a
 * connection to itself, which is reused afterwards. Not thread-safe; confined to the
 * request thread.
 */
public final class BackendClient {

	/** Header fields of a single connection, which are not forwarded. */
	private static final Set<String> CONNECTION_FIELDS = Set.of("connection", "keep-alive", "transfer-encoding",
			"content-length", "content-encoding", "date", "upgrade", "te", "trailer");

	private static final HttpHeader RAN = HttpHeaders.of("Brasspier-Ran");

	private static final HttpHeader FENCE = HttpHeaders.of("Brasspier-Fence");

	private static final HttpHeader RANGE = HttpHeaders.of("Brasspier-Range");

	private static final HttpHeader ID = HttpHeaders.of("Brasspier-Request-Id");

	private static final HttpHeader KEY = HttpHeaders.of("Brasspier-Key");

	private static final HttpHeader CLASS = HttpHeaders.of("Brasspier-Class");

	private static final HttpHeader CALLER = HttpHeaders.of("Brasspier-Caller");

	private static final HttpHeader DEADLINE_AT = HttpHeaders.of("Brasspier-Deadline-At");

	private static final long RECENT_USE_NANOS = 100_000_000;

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	private static final int CONFLICT = 409;

	private static final int UNAVAILABLE = 503;

	private final NioReactor reactor;

	private final int maxAnswerBytes;

	private final Deque<BackendConnection> idle = new ArrayDeque<>();

	private String address = "";

	/**
	 * Creates a client with no address yet.
	 * @param reactor the reactor of the request thread
	 * @param maxAnswerBytes the maximum size of an answer body, in bytes
	 */
	public BackendClient(NioReactor reactor, int maxAnswerBytes) {
		this.reactor = reactor;
		this.maxAnswerBytes = maxAnswerBytes;
	}

	/**
	 * Sets the address that later requests use, and closes idle connections to another.
	 * @param newAddress the IP number and port
	 */
	public void setAddress(String newAddress) {
		if (!this.address.equals(newAddress)) {
			this.address = newAddress;
			closeIdleConnections();
		}
	}

	/**
	 * Closes all idle connections, for example when the backend server is lost or one of
	 * them has gone silent.
	 */
	public void closeIdleConnections() {
		this.idle.forEach(BackendConnection::close);
		this.idle.clear();
	}

	/**
	 * Sends a request.
	 * @param request the request with its fence and deadlines
	 * @return the running request
	 */
	public BackendRun run(BackendRequest request) {
		BackendConnection connection = request.callerRequest().requestClass().isIdempotent() ? connection()
				: recentConnection();
		Run run = new Run(request, connection);
		try {
			run.begin(message(request), request.waitMillis());
		}
		catch (IllegalArgumentException ex) {
			// The path or a header field can't be encoded. Without this the request
			// would hold its slot forever.
			run.end(new BackendReply.NotSent(String.valueOf(ex.getMessage())), false);
		}
		return run;
	}

	private BackendConnection connection() {
		long now = System.nanoTime();
		BackendConnection candidate = this.idle.pollFirst();
		while (candidate != null && !candidate.isUsable(now)) {
			candidate.close();
			candidate = this.idle.pollFirst();
		}
		return (candidate != null) ? candidate : new BackendConnection(this.reactor);
	}

	// A posting can't be sent again, so it only reuses a connection that carried an
	// answer within the last 100 ms. A new connection costs about a millisecond.
	private BackendConnection recentConnection() {
		BackendConnection latest = this.idle.peekFirst();
		return (latest != null && latest.isOpen() && latest.idleNanos(System.nanoTime()) < RECENT_USE_NANOS)
				? connection() : new BackendConnection(this.reactor);
	}

	private void release(BackendConnection connection) {
		if (connection.isOpen()) {
			connection.onIdle(System.nanoTime());
			this.idle.addFirst(connection);
		}
	}

	private HttpRequest message(BackendRequest request) {
		CallerRequest callerRequest = request.callerRequest();
		HttpRequest.Builder builder = HttpRequest
			.builder(HttpMethod.valueOf(callerRequest.target().method()),
					"http://" + this.address + callerRequest.target().path())
			.withHeader(FENCE, request.held().fence().toString())
			.withHeader(RANGE, request.held().range().toString())
			.withHeader(ID, callerRequest.id().value())
			.withHeader(CLASS, callerRequest.requestClass().name().toLowerCase(Locale.ROOT))
			.withHeader(CALLER, callerRequest.caller().value())
			.withHeader(DEADLINE_AT, Long.toString(request.deadlineAtMillis()));
		callerRequest.key().ifPresent((key) -> builder.withHeader(KEY, key));
		callerRequest.headers().forEach((header) -> builder.withHeader(HttpHeaders.of(header.name()), header.value()));
		if (callerRequest.body().length > 0) {
			builder.withBody(callerRequest.body());
		}
		return builder.build();
	}

	/**
	 * A request in flight on its connection.
	 */
	private final class Run implements BackendRun {

		private final BackendRequest request;

		private final BackendConnection connection;

		private final SettablePromise<BackendReply> reply = new SettablePromise<>();

		private boolean ended;

		Run(BackendRequest request, BackendConnection connection) {
			this.request = request;
			this.connection = connection;
		}

		void begin(HttpRequest message, long waitMillis) {
			ScheduledRunnable timeout = BackendClient.this.reactor.delay(Math.max(1, waitMillis),
					() -> end(new BackendReply.TimedOut(), false));
			this.reply.whenResult(timeout::cancel);
			this.connection.request(message).whenComplete((response, ex) -> {
				if (ex != null) {
					end(noAnswer(ex), false);
				}
				else {
					read(response);
				}
			});
		}

		private BackendReply noAnswer(Exception ex) {
			if (this.connection.isNotSent(ex)) {
				return new BackendReply.NotSent(String.valueOf(ex.getMessage()));
			}
			return (ex instanceof MalformedHttpException && this.connection.hasReceived())
					? new BackendReply.BadAnswer(String.valueOf(ex.getMessage()))
					: new BackendReply.Broken(String.valueOf(ex.getMessage()));
		}

		private void read(HttpResponse response) {
			if (!lengthStated(response)) {
				// Without a stated length a truncated answer looks complete, and half
				// an inspection record must not reach a crew as if it were all of it.
				end(new BackendReply.BadAnswer("the answer states no length"), false);
				return;
			}
			WholeBody.read(response, BackendClient.this.maxAnswerBytes).whenComplete((body, ex) -> {
				if (ex != null) {
					end(new BackendReply.BadAnswer("the answer was cut short or too large: " + ex.getMessage()), false);
				}
				else if (!answers(response)) {
					end(new BackendReply.BadAnswer("the answer names another request id or fence"), false);
				}
				else {
					end(reply(response, body), true);
				}
			});
		}

		// A server may repeat the id and the fence of the request. An answer with
		// different ones belongs to another request: if it were forwarded, a crew would
		// get another crew's record.
		private boolean answers(HttpResponse response) {
			String id = response.getHeader(ID);
			String fence = response.getHeader(FENCE);
			return (id == null || id.equals(this.request.callerRequest().id().value()))
					&& (fence == null || fence.equals(this.request.held().fence().toString()));
		}

		private boolean lengthStated(HttpResponse response) {
			return response.hasHeader(HttpHeaders.CONTENT_LENGTH) || response.hasHeader(HttpHeaders.TRANSFER_ENCODING)
					|| response.getCode() == NO_CONTENT || response.getCode() == NOT_MODIFIED
					|| this.request.callerRequest().target().method().equals(HttpMethod.HEAD.name());
		}

		private BackendReply reply(HttpResponse response, byte[] body) {
			boolean notRun = "not_run".equals(response.getHeader(RAN));
			if (notRun && response.getCode() == UNAVAILABLE) {
				return new BackendReply.Shed(retryAfter(response));
			}
			if (notRun && response.getCode() == CONFLICT) {
				return new BackendReply.FenceRefused();
			}
			List<HeaderField> headers = response.getHeaders()
				.stream()
				.map((entry) -> new HeaderField(entry.getKey().toString(), entry.getValue().toString()))
				.filter((header) -> !CONNECTION_FIELDS.contains(header.name().toLowerCase(Locale.ROOT)))
				.toList();
			return new BackendReply.Whole(new Answer(response.getCode(), headers, body));
		}

		private static Duration retryAfter(HttpResponse response) {
			String text = response.getHeader(HttpHeaders.of("Retry-After"));
			return (text != null && text.matches("[0-9]{1,4}")) ? Duration.ofSeconds(Long.parseLong(text))
					: Duration.ZERO;
		}

		private void end(BackendReply end, boolean reusable) {
			if (this.ended) {
				return;
			}
			this.ended = true;
			if (reusable) {
				whenFree(() -> {
					release(this.connection);
					this.reply.set(end);
				});
			}
			else {
				this.reply.set(end);
				this.connection.close();
			}
		}

		// ActiveJ returns the connection to its pool two turns of the event loop after
		// the end of the body. A request sent sooner would open a second connection.
		private void whenFree(Runnable task) {
			BackendClient.this.reactor.post(() -> BackendClient.this.reactor.post(task));
		}

		@Override
		public Promise<BackendReply> reply() {
			return this.reply;
		}

		@Override
		public void abandon(String reason) {
			end(new BackendReply.Broken(reason), false);
		}

	}

}
