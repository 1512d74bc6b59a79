package org.brasspier.integration;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.brasspier.standins.StandInInstance;

/**
 * A caller that sends one request to one daemon, just as a test says, and never again by
 * itself.
 */
final class PathCaller {

	private static final Duration WAIT = Duration.ofSeconds(30);

	private final String service;

	PathCaller(String service) {
		this.service = service;
	}

	CompletableFuture<HttpResponse<String>> send(StandInInstance daemon, String path, Posting posting) {
		return http().sendAsync(request(daemon, path, posting), HttpResponse.BodyHandlers.ofString());
	}

	HttpResponse<String> post(StandInInstance daemon, String path, Posting posting)
			throws IOException, InterruptedException {
		return http().send(request(daemon, path, posting), HttpResponse.BodyHandlers.ofString());
	}

	HttpResponse<String> get(StandInInstance daemon, String path, String key, String id, int deadlineMillis)
			throws IOException, InterruptedException {
		HttpRequest.Builder builder = builder(daemon, path).header("Brasspier-Key", key)
			.header("Brasspier-Request-Id", id)
			.header("Brasspier-Deadline-Millis", Integer.toString(deadlineMillis));
		return http().send(builder.build(), HttpResponse.BodyHandlers.ofString());
	}

	// Asks for a ticket for a posting that was never sent before.
	Posting begin(StandInInstance daemon, String key, String id) throws IOException, InterruptedException {
		Posting bare = new Posting(key, id, "");
		return new Posting(key, id, field(post(daemon, "/book", bare), "Brasspier-Ticket"));
	}

	static String field(HttpResponse<String> answer, String name) {
		return answer.headers().firstValue(name).orElse("");
	}

	// A new one each time, so that no connection of a daemon that was killed is used.
	private static HttpClient http() {
		return HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
	}

	private HttpRequest request(StandInInstance daemon, String path, Posting posting) {
		HttpRequest.Builder builder = builder(daemon, path).header("Brasspier-Request-Id", posting.id)
			.header("Brasspier-Class", "posting")
			.header("Brasspier-Deadline-Millis", "5000")
			.POST(HttpRequest.BodyPublishers.ofString("the same contents"));
		if (!posting.key.isEmpty()) {
			builder.header("Brasspier-Key", posting.key);
		}
		if (!posting.ticket.isEmpty()) {
			builder.header("Brasspier-Ticket", posting.ticket);
		}
		return builder.build();
	}

	private HttpRequest.Builder builder(StandInInstance daemon, String path) {
		InetSocketAddress to = daemon.callers();
		return HttpRequest
			.newBuilder(
					URI.create("http://%s:%d/v1/%s%s".formatted(to.getHostString(), to.getPort(), this.service, path)))
			.timeout(WAIT);
	}

	/**
	 * A posting with the ticket that each send of it repeats.
	 */
	record Posting(String key, String id, String ticket) {

	}

}
