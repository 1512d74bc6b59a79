package org.brasspier.bench.path;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.activej.dns.DnsClient;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.HdrHistogram.Histogram;

/**
 * Load generator whose callers each send the next request as soon as the previous one
 * completes. Thread-safe; supports one run at a time.
 */
final class PathLoad implements AutoCloseable {

	private static final long MAX_RECORDED_MICROS = TimeUnit.SECONDS.toMicros(30);

	private static final int HTTP_OK = 200;

	private final Eventloop loop = Eventloop.builder().withThreadName("load").build();

	private final Thread thread = new Thread(this.loop, "load");

	private final HttpClient http = HttpClient
		.builder(this.loop, DnsClient.create(this.loop, new InetSocketAddress("127.0.0.1", 53)))
		.withKeepAliveTimeout(Duration.ofSeconds(20))
		.build();

	private volatile long failures;

	PathLoad() {
		this.loop.keepAlive(true);
		this.thread.setDaemon(true);
		this.thread.start();
	}

	static Histogram histogram() {
		return new Histogram(MAX_RECORDED_MICROS, 3);
	}

	long failures() {
		return this.failures;
	}

	void run(RequestPath path, int callers, Duration duration, Histogram latencies) {
		long endNanos = System.nanoTime() + duration.toNanos();
		CompletableFuture<?>[] finished = new CompletableFuture<?>[callers];
		for (int i = 0; i < callers; i++) {
			CompletableFuture<Void> caller = new CompletableFuture<>();
			finished[i] = caller;
			this.loop.execute(() -> sendRepeatedly(path, endNanos, latencies, caller));
		}
		CompletableFuture.allOf(finished).join();
	}

	// Sends one request and returns the named header of the response, empty if the
	// request fails or has no such header.
	CompletableFuture<String> responseHeader(RequestPath path, String name) {
		CompletableFuture<String> value = new CompletableFuture<>();
		this.loop.execute(() -> send(path).whenComplete((response, ex) -> {
			String text = (ex != null) ? null : response.getHeader(HttpHeaders.of(name));
			value.complete((text != null) ? text : "");
		}));
		return value;
	}

	private void sendRepeatedly(RequestPath path, long endNanos, Histogram latencies,
			CompletableFuture<Void> finished) {
		long startNanos = System.nanoTime();
		if (startNanos - endNanos >= 0) {
			finished.complete(null);
			return;
		}
		send(path).whenComplete((response, ex) -> {
			if (ex != null || response.getCode() != HTTP_OK) {
				this.failures++;
			}
			else {
				latencies.recordValue(
						Math.min(MAX_RECORDED_MICROS, TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos)));
			}
			sendRepeatedly(path, endNanos, latencies, finished);
		});
	}

	private Promise<HttpResponse> send(RequestPath path) {
		return this.http
			.request(HttpRequest.get(path.url)
				.withHeader(HttpHeaders.of("Brasspier-Key"), path.key)
				.withHeader(HttpHeaders.of("Brasspier-Request-Id"), "bench-" + System.nanoTime())
				.withHeader(HttpHeaders.of("Brasspier-Class"), "lookup")
				.withHeader(HttpHeaders.of("Brasspier-Deadline-At"), Long.toString(System.currentTimeMillis() + 10_000))
				.build())
			.then((response) -> response.loadBody().map((body) -> response));
	}

	@Override
	public void close() {
		this.loop.execute(this.loop::breakEventloop);
	}

	/**
	 * A path on which requests reach the backend server.
	 *
	 * @param url URL to send requests to
	 * @param key key to send in the requests
	 */
	record RequestPath(String url, String key) {

	}

}
