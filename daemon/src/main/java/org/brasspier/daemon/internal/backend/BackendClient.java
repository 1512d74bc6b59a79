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
 * Hands orders to the backend server beside this daemon over HTTP, each on a connection
 * of its own that is kept for the next. Belongs to the thread of requests.
 */
public final class BackendClient {

	/** Fields that belong to one connection and are not passed on. */
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

	private static final long LATELY_NANOS = 100_000_000;

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	private static final int CONFLICT = 409;

	private static final int UNAVAILABLE = 503;

	private final NioReactor reactor;

	private final int maxAnswerBytes;

	private final Deque<BackendConnection> idle = new ArrayDeque<>();

	private String address = "";

	/**
	 * Creates a client that knows of no backend server yet.
	 * @param reactor the reactor of the thread of requests
	 * @param maxAnswerBytes the largest body of an answer, in bytes
	 */
	public BackendClient(NioReactor reactor, int maxAnswerBytes) {
		this.reactor = reactor;
		this.maxAnswerBytes = maxAnswerBytes;
	}

	/**
	 * Sends orders to this address from now on.
	 * @param newAddress the IP number and port
	 */
	public void address(String newAddress) {
		if (!this.address.equals(newAddress)) {
			this.address = newAddress;
			forgetConnections();
		}
	}

	/**
	 * Closes the connections that rest, as when the backend server is lost or one of them
	 * turned out to be silent.
	 */
	public void forgetConnections() {
		this.idle.forEach(BackendConnection::close);
		this.idle.clear();
	}

	/**
	 * Hands an order over.
	 * @param order the order
	 * @return its run
	 */
	public BackendRun run(BackendOrder order) {
		BackendConnection connection = order.request().requestClass().isIdempotent() ? connection() : lately();
		Run run = new Run(order, connection);
		try {
			run.begin(message(order), order.waitMillis());
		}
		catch (IllegalArgumentException ex) {
			// A path or field that can't be written: without this the order would keep
			// its
			// slot for good.
			run.end(new BackendReply.NotSent(String.valueOf(ex.getMessage())), false);
		}
		return run;
	}

	private BackendConnection connection() {
		long now = System.nanoTime();
		BackendConnection resting = this.idle.pollFirst();
		while (resting != null && !resting.usable(now)) {
			resting.close();
			resting = this.idle.pollFirst();
		}
		return (resting != null) ? resting : new BackendConnection(this.reactor);
	}

	// A posting can't be sent again, so it goes on a connection that carried an answer
	// just
	// now, or on a new one, which costs about a millisecond.
	private BackendConnection lately() {
		BackendConnection latest = this.idle.peekFirst();
		return (latest != null && latest.open() && latest.restedNanos(System.nanoTime()) < LATELY_NANOS) ? connection()
				: new BackendConnection(this.reactor);
	}

	private void rest(BackendConnection connection) {
		if (connection.open()) {
			connection.rests(System.nanoTime());
			this.idle.addFirst(connection);
		}
	}

	private HttpRequest message(BackendOrder order) {
		CallerRequest request = order.request();
		HttpRequest.Builder builder = HttpRequest
			.builder(HttpMethod.valueOf(request.target().method()), "http://" + this.address + request.target().path())
			.withHeader(FENCE, order.held().fence().toString())
			.withHeader(RANGE, order.held().range().toString())
			.withHeader(ID, request.id().value())
			.withHeader(CLASS, request.requestClass().name().toLowerCase(Locale.ROOT))
			.withHeader(CALLER, request.caller().value())
			.withHeader(DEADLINE_AT, Long.toString(order.deadlineAtMillis()));
		request.key().ifPresent((key) -> builder.withHeader(KEY, key));
		request.headers().forEach((header) -> builder.withHeader(HttpHeaders.of(header.name()), header.value()));
		if (request.body().length > 0) {
			builder.withBody(request.body());
		}
		return builder.build();
	}

	/**
	 * One order on one connection.
	 */
	private final class Run implements BackendRun {

		private final BackendOrder order;

		private final BackendConnection connection;

		private final SettablePromise<BackendReply> reply = new SettablePromise<>();

		private boolean ended;

		Run(BackendOrder order, BackendConnection connection) {
			this.order = order;
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
			if (this.connection.notSent(ex)) {
				return new BackendReply.NotSent(String.valueOf(ex.getMessage()));
			}
			return (ex instanceof MalformedHttpException && this.connection.heard())
					? new BackendReply.BadAnswer(String.valueOf(ex.getMessage()))
					: new BackendReply.Broken(String.valueOf(ex.getMessage()));
		}

		private void read(HttpResponse response) {
			if (!lengthStated(response)) {
				// Cut short or whole could not be told apart, and half an inspection
				// record must not reach a crew as if it were all of it.
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

		// A server may repeat the order's id and fence. An answer that names others
		// belongs
		// to another order: relayed, a crew would get another crew's record.
		private boolean answers(HttpResponse response) {
			String id = response.getHeader(ID);
			String fence = response.getHeader(FENCE);
			return (id == null || id.equals(this.order.request().id().value()))
					&& (fence == null || fence.equals(this.order.held().fence().toString()));
		}

		private boolean lengthStated(HttpResponse response) {
			return response.hasHeader(HttpHeaders.CONTENT_LENGTH) || response.hasHeader(HttpHeaders.TRANSFER_ENCODING)
					|| response.getCode() == NO_CONTENT || response.getCode() == NOT_MODIFIED
					|| this.order.request().target().method().equals(HttpMethod.HEAD.name());
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
					rest(this.connection);
					this.reply.set(end);
				});
			}
			else {
				this.reply.set(end);
				this.connection.close();
			}
		}

		// The library has the connection back two turns of the loop after the body's end.
		// An order that came sooner would open a second one beside it.
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
