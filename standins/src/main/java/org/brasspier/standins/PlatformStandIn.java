package org.brasspier.standins;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.google.gson.Gson;
import io.activej.bytebuf.ByteBuf;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import org.jspecify.annotations.Nullable;

/**
 * The platform's table service and object store of docs/API.md, both on one port, kept in
 * memory. Its faults can be set by {@link #faults(PlatformFaults)} or with
 * {@code PUT /control}. Thread-safe.
 */
public final class PlatformStandIn implements AutoCloseable {

	/** The platform is specified for several hundred writes a second. */
	private static final int WRITES_A_SECOND = 400;

	/** The platform is specified for about two thousand reads a second. */
	private static final int READS_A_SECOND = 2000;

	private static final int MAX_BODY_BYTES = 8 << 20;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int UNAVAILABLE = 503;

	private static final HttpHeader VERSION = HttpHeaders.of("Version");

	private static final HttpHeader IF_VERSION = HttpHeaders.of("If-Version");

	private static final HttpHeader UNLESS_VERSION = HttpHeaders.of("Unless-Version");

	private static final Pattern VALID_NAME = Pattern.compile("[a-zA-Z0-9._/-]{1,512}");

	private static final Gson GSON = new Gson();

	private final StandInLoop loop = new StandInLoop("platform-standin");

	private final Map<String, Row> table = new HashMap<>();

	private final Map<String, byte[]> objects = new HashMap<>();

	private final RateLimiter writeLimit = new RateLimiter(WRITES_A_SECOND, System.nanoTime());

	private final RateLimiter readLimit = new RateLimiter(READS_A_SECOND, System.nanoTime());

	private final AtomicLong reads = new AtomicLong();

	private final AtomicLong writes = new AtomicLong();

	private final HttpServer server;

	private final InetSocketAddress address;

	private volatile Set<String> tokens;

	private volatile PlatformFaults faults = PlatformFaults.NONE;

	/**
	 * Starts to listen on an address.
	 * @param address the address
	 * @param token the bearer token that calls must carry
	 */
	public PlatformStandIn(InetSocketAddress address, String token) {
		this.address = address;
		this.tokens = Set.of(token);
		this.server = this.loop.call(() -> {
			HttpServer httpServer = HttpServer.builder(this.loop.reactor(), this::serve)
				.withListenAddress(address)
				.build();
			httpServer.listen();
			return httpServer;
		});
	}

	/**
	 * Runs the platform as a process of its own.
	 * @param arguments the flags
	 * @throws InterruptedException if the main thread is interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		Flags flags = new Flags();
		JCommander.newBuilder().addObject(flags).programName("platform-standin").build().parse(arguments);
		PlatformStandIn platform = new PlatformStandIn(Ports.parse(flags.listen), flags.token);
		platform.loop.join();
	}

	/**
	 * Returns the address on which it listens.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.address;
	}

	/**
	 * Sets the faults that apply from now on.
	 * @param faults the faults
	 */
	public void faults(PlatformFaults faults) {
		this.loop.call(() -> {
			this.faults = faults;
			return true;
		});
	}

	/**
	 * Returns the present faults.
	 * @return the faults, with the number of answers that are still to be lost
	 */
	public PlatformFaults faults() {
		return this.faults;
	}

	/**
	 * Returns how many calls it received since its start.
	 * @return the counts
	 */
	public Counts counts() {
		return new Counts(this.reads.get(), this.writes.get());
	}

	/**
	 * Returns a row's value.
	 * @param key the row's key
	 * @return its present value, empty if there is none
	 */
	public Optional<byte[]> row(String key) {
		return this.loop.call(() -> Optional.ofNullable(this.table.get(key)).map(Row::value));
	}

	/**
	 * Replaces a row's value without the check of its version, like a fault of the
	 * platform.
	 * @param key the row's key
	 * @param value the new value
	 */
	public void corruptRow(String key, byte[] value) {
		this.loop.call(() -> this.table.merge(key, new Row(1, value),
				(present, replacement) -> new Row(present.version() + 1, replacement.value())));
	}

	/**
	 * Changes the bearer tokens that calls must carry.
	 * @param accepted the tokens, each of them accepted
	 */
	public void acceptTokens(String... accepted) {
		this.tokens = Set.of(accepted);
	}

	private boolean authorized(@Nullable String offered) {
		return offered != null && this.tokens.stream().anyMatch((token) -> offered.equals("Bearer " + token));
	}

	private Promise<HttpResponse> serve(HttpRequest request) {
		String path = request.getPath();
		if (path.equals("/control")) {
			return control(request);
		}
		if (!authorized(request.getHeader(HttpHeaders.AUTHORIZATION))) {
			return status(401);
		}
		boolean write = request.getMethod() == HttpMethod.PUT;
		((write) ? this.writes : this.reads).incrementAndGet();
		if (this.faults.outage()) {
			return status(UNAVAILABLE);
		}
		if (!((write) ? this.writeLimit : this.readLimit).tryAcquire(System.nanoTime())) {
			return status(TOO_MANY_REQUESTS);
		}
		int halfDelayMillis = this.faults.slowMillis() / 2;
		return request.loadBody(MAX_BODY_BYTES)
			.then((body) -> pause(halfDelayMillis, body.getArray()))
			.then((body) -> (write) ? write(request, path, body) : read(request, path))
			.then((response) -> pause(halfDelayMillis, response));
	}

	private static <T> Promise<T> pause(int millis, T value) {
		return (millis == 0) ? Promise.of(value) : Promises.delay(millis, value);
	}

	private Promise<HttpResponse> control(HttpRequest request) {
		if (request.getMethod() == HttpMethod.GET) {
			return HttpResponse.ok200().withJson(GSON.toJson(counts())).toPromise();
		}
		return request.loadBody(MAX_BODY_BYTES).then((ByteBuf body) -> {
			this.faults = GSON.fromJson(body.getString(StandardCharsets.UTF_8), PlatformFaults.class);
			return HttpResponse.ok200().toPromise();
		});
	}

	private Promise<HttpResponse> read(HttpRequest request, String path) {
		if (path.startsWith("/table/")) {
			return readRow(request, path.substring("/table/".length()));
		}
		if (path.startsWith("/objects/")) {
			byte[] body = this.objects.get(path.substring("/objects/".length()));
			return (body != null) ? HttpResponse.ok200().withBody(body.clone()).toPromise() : status(404);
		}
		return status(404);
	}

	private Promise<HttpResponse> readRow(HttpRequest request, String key) {
		Row row = this.table.get(key);
		if (row == null) {
			return status(404);
		}
		String version = Long.toString(row.version());
		boolean unchanged = version.equals(request.getHeader(UNLESS_VERSION));
		HttpResponse.Builder answer = (unchanged) ? HttpResponse.ofCode(304)
				: HttpResponse.ok200().withBody(row.value().clone());
		return answer.withHeader(VERSION, version).toPromise();
	}

	private Promise<HttpResponse> write(HttpRequest request, String path, byte[] body) {
		if (path.startsWith("/table/")) {
			return writeRow(request, path.substring("/table/".length()), body);
		}
		if (path.startsWith("/objects/") && VALID_NAME.matcher(path).matches()) {
			this.objects.put(path.substring("/objects/".length()), body);
			return answerUnlessLost(HttpResponse.ok200());
		}
		return status(400);
	}

	private Promise<HttpResponse> writeRow(HttpRequest request, String key, byte[] body) {
		String expected = request.getHeader(IF_VERSION);
		if (expected == null || !expected.matches("[0-9]{1,18}") || !VALID_NAME.matcher(key).matches()) {
			return status(400);
		}
		Row row = this.table.get(key);
		long actual = (row != null) ? row.version() : 0;
		if (actual != Long.parseLong(expected)) {
			return answerUnlessLost(HttpResponse.ofCode(412).withHeader(VERSION, Long.toString(actual)));
		}
		this.table.put(key, new Row(actual + 1, body));
		return answerUnlessLost(HttpResponse.ok200().withHeader(VERSION, Long.toString(actual + 1)));
	}

	// Called after the write has taken effect: answers it, or loses the answer if the
	// faults say so.
	private Promise<HttpResponse> answerUnlessLost(HttpResponse.Builder response) {
		if (this.faults.lostAnswers() > 0) {
			this.faults = this.faults.withOneLostAnswerLess();
			return new SettablePromise<>();
		}
		return response.toPromise();
	}

	private static Promise<HttpResponse> status(int code) {
		return HttpResponse.ofCode(code).toPromise();
	}

	@Override
	public void close() {
		this.loop.execute(this.server::close);
		this.loop.close();
	}

	/**
	 * The number of calls that the platform received.
	 *
	 * @param reads the reads
	 * @param writes the writes
	 */
	public record Counts(long reads, long writes) {

	}

	/**
	 * A row of the table.
	 *
	 * @param version one higher with each write
	 * @param value the value
	 */
	private record Row(long version, byte[] value) {

	}

	/**
	 * The command-line flags.
	 */
	private static final class Flags {

		@Parameter(names = "--listen", required = true, description = "IP:PORT")
		private String listen = "";

		@Parameter(names = "--token", required = true)
		private String token = "";

	}

}
