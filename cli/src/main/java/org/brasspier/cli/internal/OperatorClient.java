package org.brasspier.cli.internal;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;

import io.activej.bytebuf.ByteBuf;
import io.activej.dns.DnsClient;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.wire.operator.ErrorAnswer;
import org.brasspier.wire.operator.OperatorJson;

/**
 * HTTP client of the daemons' operator ports. Each call blocks until it completes. Not
 * thread-safe.
 */
public final class OperatorClient {

	/** Required by the HTTP client but never queried: all addresses are IP addresses. */
	private static final InetSocketAddress NO_NAME_SERVER = new InetSocketAddress("127.0.0.1", 53);

	private static final int MAX_BODY_BYTES = 64 << 20;

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

	private static final String NOT_RUN = "not_run";

	private final List<String> daemons;

	private final String secret;

	private final Duration timeout;

	/**
	 * Creates a client.
	 * @param daemons addresses of operator ports as IP:PORT, tried in order
	 * @param secret the operators' secret
	 * @param timeout read and write timeout of a call
	 */
	public OperatorClient(List<String> daemons, String secret, Duration timeout) {
		this.daemons = List.copyOf(daemons);
		this.secret = secret;
		this.timeout = timeout;
	}

	/**
	 * Returns the daemons given on the command line.
	 * @return addresses of their operator ports
	 */
	public List<String> daemons() {
		return this.daemons;
	}

	/**
	 * Sends a GET request to the first daemon that answers.
	 * @param <T> type of the response
	 * @param path path and query of the request
	 * @param type class of the response
	 * @return the response, or the error
	 */
	public <T> Either<ErrorAnswer, T> get(String path, Class<T> type) {
		return tryInOrder((daemon) -> get(daemon, path, type), true);
	}

	/**
	 * Sends a GET request to one daemon.
	 * @param <T> type of the response
	 * @param daemon address of the daemon's operator port
	 * @param path path and query of the request
	 * @param type class of the response
	 * @return the response, or the error
	 */
	public <T> Either<ErrorAnswer, T> get(String daemon, String path, Class<T> type) {
		return send(HttpRequest.builder(HttpMethod.GET, "http://" + daemon + path), type);
	}

	/**
	 * Sends an order in a POST request to the first daemon that can be reached.
	 * @param <T> type of the response
	 * @param path path of the request
	 * @param body order, sent as JSON
	 * @param type class of the response
	 * @param idempotent whether the order is idempotent, so that it may reach two daemons
	 * @return the response, or the error
	 */
	public <T> Either<ErrorAnswer, T> post(String path, Object body, Class<T> type, boolean idempotent) {
		return tryInOrder((daemon) -> send(HttpRequest.builder(HttpMethod.POST, "http://" + daemon + path)
			.withBody(OperatorJson.write(body).getBytes(StandardCharsets.UTF_8)), type), idempotent);
	}

	private <T> Either<ErrorAnswer, T> tryInOrder(Function<String, Either<ErrorAnswer, T>> call, boolean idempotent) {
		Either<ErrorAnswer, T> lastResult = unreachable(
				"no daemon address is configured (see TROUBLESHOOTING.md#no-daemon)");
		for (String daemon : this.daemons) {
			lastResult = call.apply(daemon);
			boolean shouldTryNext = lastResult.isLeft() && lastResult.getLeft().error() == ErrorKind.DAEMON_UNREACHABLE
					&& (idempotent || lastResult.getLeft().ran().equals(NOT_RUN));
			if (!shouldTryNext) {
				return lastResult;
			}
		}
		return lastResult;
	}

	private static <T> Either<ErrorAnswer, T> unreachable(String detail) {
		return Either.left(ErrorAnswer.of(Failure.of(ErrorKind.DAEMON_UNREACHABLE, detail)));
	}

	private <T> Either<ErrorAnswer, T> send(HttpRequest.Builder builder, Class<T> type) {
		Eventloop eventloop = Eventloop.builder().withCurrentThread().build();
		HttpClient client = HttpClient.builder(eventloop, DnsClient.create(eventloop, NO_NAME_SERVER))
			.withNoKeepAlive()
			.withConnectTimeout(CONNECT_TIMEOUT)
			.withReadWriteTimeout(this.timeout)
			.build();
		AtomicReference<Either<ErrorAnswer, T>> result = new AtomicReference<>(
				Either.left(unansweredError(true, "the call did not complete")));
		client.request(builder.withHeader(HttpHeaders.AUTHORIZATION, "Bearer " + this.secret).build())
			.then((response) -> readAnswer(response, type))
			.whenComplete((answer, ex) -> result.set((ex != null)
					? Either.left(unansweredError(!(ex instanceof ConnectException), ex.toString())) : answer));
		eventloop.run();
		return Objects.requireNonNull(result.get());
	}

	private static <T> Promise<Either<ErrorAnswer, T>> readAnswer(HttpResponse response, Class<T> type) {
		return response.loadBody(MAX_BODY_BYTES).map(ByteBuf::getArray).map((body) -> {
			String json = new String(body, StandardCharsets.UTF_8);
			if (response.getCode() == 200) {
				return OperatorJson.read(json, type).mapLeft((failure) -> unansweredError(true, failure.detail()));
			}
			return Either.left(OperatorJson.read(json, ErrorAnswer.class)
				.getOrElse(() -> unansweredError(true, "status " + response.getCode())));
		});
	}

	private static ErrorAnswer unansweredError(boolean mayHaveReached, String reason) {
		ErrorAnswer error = ErrorAnswer.of(Failure.of(ErrorKind.DAEMON_UNREACHABLE,
				"the daemon did not answer: %s (see TROUBLESHOOTING.md#no-daemon)".formatted(reason)));
		return (mayHaveReached) ? error : error.withRan(NOT_RUN);
	}

}
