package org.brasspier.daemon.internal.backend;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.brasspier.core.Fence;
import org.brasspier.core.request.Answer;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.core.request.HeaderField;

/**
 * Hands requests to the backend server beside this daemon over HTTP. Belongs to the
 * thread of requests.
 */
public final class BackendClient {

	/** Fields that belong to one connection and are not passed on. */
	private static final Set<String> CONNECTION_FIELDS = Set.of("connection", "keep-alive", "transfer-encoding",
			"content-length", "content-encoding", "date", "upgrade", "te", "trailer");

	private final HttpClient http;

	private Optional<BackendAnnouncement> backend = Optional.empty();

	/**
	 * Creates a client that knows of no backend server yet.
	 * @param http the HTTP client of the thread of requests
	 */
	public BackendClient(HttpClient http) {
		this.http = http;
	}

	/**
	 * Takes note of the backend server.
	 * @param announcement what it said of itself
	 */
	public void announce(BackendAnnouncement announcement) {
		this.backend = Optional.of(announcement);
	}

	/**
	 * Runs a request on the backend server.
	 * @param request the request
	 * @param fence the fence under which it is handed over
	 * @return the whole answer, or an exception if none came
	 */
	public Promise<Answer> run(CallerRequest request, Fence fence) {
		if (this.backend.isEmpty()) {
			return Promise.ofException(new IllegalStateException("no backend server has announced itself"));
		}
		String url = "http://" + this.backend.get().address() + request.target().path();
		HttpRequest.Builder builder = HttpRequest.builder(HttpMethod.valueOf(request.target().method()), url)
			.withHeader(HttpHeaders.of("Brasspier-Fence"), fence.toString())
			.withHeader(HttpHeaders.of("Brasspier-Request-Id"), request.id().value());
		request.key().ifPresent((key) -> builder.withHeader(HttpHeaders.of("Brasspier-Key"), key));
		request.headers().forEach((header) -> builder.withHeader(HttpHeaders.of(header.name()), header.value()));
		if (request.body().length > 0) {
			builder.withBody(request.body());
		}
		return this.http.request(builder.build()).then(BackendClient::whole);
	}

	private static Promise<Answer> whole(HttpResponse response) {
		List<HeaderField> headers = response.getHeaders()
			.stream()
			.map((entry) -> new HeaderField(entry.getKey().toString(), entry.getValue().toString()))
			.filter((header) -> !CONNECTION_FIELDS.contains(header.name().toLowerCase(Locale.ROOT)))
			.toList();
		return response.loadBody().map((body) -> new Answer(response.getCode(), headers, body.getArray()));
	}

}
