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
 * A caller that sends one request to one given daemon and never retries by itself.
 */
final class SingleAttemptCaller {

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);

	private final String service;

	SingleAttemptCaller(String service) {
		this.service = service;
	}

	CompletableFuture<HttpResponse<String>> send(StandInInstance daemon, String path, Posting posting) {
		return newHttpClient().sendAsync(postRequest(daemon, path, posting), HttpResponse.BodyHandlers.ofString());
	}

	HttpResponse<String> post(StandInInstance daemon, String path, Posting posting)
			throws IOException, InterruptedException {
		return newHttpClient().send(postRequest(daemon, path, posting), HttpResponse.BodyHandlers.ofString());
	}

	HttpResponse<String> get(StandInInstance daemon, String path, String key, String id, int deadlineMillis)
			throws IOException, InterruptedException {
		HttpRequest.Builder builder = requestBuilder(daemon, path).header("Brasspier-Key", key)
			.header("Brasspier-Request-Id", id)
			.header("Brasspier-Deadline-Millis", Integer.toString(deadlineMillis));
		return newHttpClient().send(builder.build(), HttpResponse.BodyHandlers.ofString());
	}

	// Requests a ticket for a posting that has not been sent before.
	Posting requestTicket(StandInInstance daemon, String key, String id) throws IOException, InterruptedException {
		Posting withoutTicket = new Posting(key, id, "");
		return new Posting(key, id, header(post(daemon, "/book", withoutTicket), "Brasspier-Ticket"));
	}

	static String header(HttpResponse<String> response, String name) {
		return response.headers().firstValue(name).orElse("");
	}

	// Uses a new client for each request, so that no connection to a killed daemon is
	// reused.
	private static HttpClient newHttpClient() {
		return HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
	}

	private HttpRequest postRequest(StandInInstance daemon, String path, Posting posting) {
		HttpRequest.Builder builder = requestBuilder(daemon, path).header("Brasspier-Request-Id", posting.id)
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

	private HttpRequest.Builder requestBuilder(StandInInstance daemon, String path) {
		InetSocketAddress address = daemon.callers();
		return HttpRequest
			.newBuilder(URI.create(
					"http://%s:%d/v1/%s%s".formatted(address.getHostString(), address.getPort(), this.service, path)))
			.timeout(REQUEST_TIMEOUT);
	}

	/**
	 * A posting with the ticket that is repeated each time the posting is sent.
	 */
	record Posting(String key, String id, String ticket) {

	}

}
