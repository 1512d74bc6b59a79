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
 * HTTP client of the daemons' operator ports, one call at a time. Not thread-safe.
 */
public final class OperatorClient {

	/** Placeholder: every address is an IP address, so no name is ever looked up. */
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
		return call(HttpRequest.builder(HttpMethod.GET, "http://" + daemon + path), type);
	}

	/**
	 * Sends an order in a POST request to the first daemon that can be reached.
	 * @param <T> type of the response
	 * @param path path of the request
	 * @param message order, sent as JSON
	 * @param type class of the response
	 * @param repeatable whether the order is idempotent, so that it may reach two daemons
	 * @return the response, or the error
	 */
	public <T> Either<ErrorAnswer, T> post(String path, Object message, Class<T> type, boolean repeatable) {
		return tryInOrder((daemon) -> call(HttpRequest.builder(HttpMethod.POST, "http://" + daemon + path)
			.withBody(OperatorJson.write(message).getBytes(StandardCharsets.UTF_8)), type), repeatable);
	}

	private <T> Either<ErrorAnswer, T> tryInOrder(Function<String, Either<ErrorAnswer, T>> call, boolean repeatable) {
		Either<ErrorAnswer, T> last = unreachable("no daemon was named (see TROUBLESHOOTING.md#no-daemon)");
		for (String daemon : this.daemons) {
			last = call.apply(daemon);
			boolean next = last.isLeft() && last.getLeft().error() == ErrorKind.DAEMON_UNREACHABLE
					&& (repeatable || last.getLeft().ran().equals(NOT_RUN));
			if (!next) {
				return last;
			}
		}
		return last;
	}

	private static <T> Either<ErrorAnswer, T> unreachable(String detail) {
		return Either.left(ErrorAnswer.of(Failure.of(ErrorKind.DAEMON_UNREACHABLE, detail)));
	}

	private <T> Either<ErrorAnswer, T> call(HttpRequest.Builder builder, Class<T> type) {
		Eventloop loop = Eventloop.builder().withCurrentThread().build();
		HttpClient http = HttpClient.builder(loop, DnsClient.create(loop, NO_NAME_SERVER))
			.withNoKeepAlive()
			.withConnectTimeout(CONNECT_TIMEOUT)
			.withReadWriteTimeout(this.timeout)
			.build();
		AtomicReference<Either<ErrorAnswer, T>> outcome = new AtomicReference<>(
				Either.left(unanswered(true, "the call did not end")));
		http.request(builder.withHeader(HttpHeaders.AUTHORIZATION, "Bearer " + this.secret).build())
			.then((response) -> read(response, type))
			.whenComplete((read, ex) -> outcome
				.set((ex != null) ? Either.left(unanswered(!(ex instanceof ConnectException), ex.toString())) : read));
		loop.run();
		return Objects.requireNonNull(outcome.get());
	}

	private static <T> Promise<Either<ErrorAnswer, T>> read(HttpResponse response, Class<T> type) {
		return response.loadBody(MAX_BODY_BYTES).map(ByteBuf::getArray).map((body) -> {
			String json = new String(body, StandardCharsets.UTF_8);
			if (response.getCode() == 200) {
				return OperatorJson.read(json, type).mapLeft((failure) -> unanswered(true, failure.detail()));
			}
			return Either.left(OperatorJson.read(json, ErrorAnswer.class)
				.getOrElse(() -> unanswered(true, "status " + response.getCode())));
		});
	}

	private static ErrorAnswer unanswered(boolean reached, String why) {
		ErrorAnswer error = ErrorAnswer.of(Failure.of(ErrorKind.DAEMON_UNREACHABLE,
				"the daemon did not answer: %s (see TROUBLESHOOTING.md#no-daemon)".formatted(why)));
		return (reached) ? error : error.withRan(NOT_RUN);
	}

}
