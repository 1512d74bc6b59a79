package org.brasspier.daemon.internal.caller;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

import io.activej.bytebuf.ByteBuf;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.brasspier.core.CallerId;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.RequestClass;
import org.brasspier.core.RequestId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.core.request.HeaderField;
import org.brasspier.daemon.internal.request.Outcome;
import org.brasspier.daemon.internal.request.RequestRouter;

/**
 * The port for callers: {@code /v1/SERVICE/PATH} with what brasspier needs to know in
 * header fields that begin with {@code Brasspier-}. Belongs to the thread of requests.
 */
public final class CallerPort implements AsyncServlet {

	private static final String PREFIX = "/v1/";

	private static final String OWN_FIELDS = "brasspier-";

	private static final HttpHeader KEY = HttpHeaders.of("Brasspier-Key");

	private static final HttpHeader REQUEST_ID = HttpHeaders.of("Brasspier-Request-Id");

	private static final HttpHeader CLASS = HttpHeaders.of("Brasspier-Class");

	private static final HttpHeader CALLER = HttpHeaders.of("Brasspier-Caller");

	private static final HttpHeader TICKET = HttpHeaders.of("Brasspier-Ticket");

	private static final HttpHeader DEADLINE = HttpHeaders.of("Brasspier-Deadline-Millis");

	private static final int DEFAULT_DEADLINE_MILLIS = 5000;

	private final RequestRouter router;

	private final int maxBodyBytes;

	/**
	 * Creates the port's servlet.
	 * @param router where requests go
	 * @param maxBodyBytes the largest body accepted, in bytes
	 */
	public CallerPort(RequestRouter router, int maxBodyBytes) {
		this.router = router;
		this.maxBodyBytes = maxBodyBytes;
	}

	@Override
	public Promise<HttpResponse> serve(HttpRequest request) {
		return request.loadBody(this.maxBodyBytes)
			.then((body) -> this.router.route(read(request, body)).map(CallerPort::render))
			.then((response, ex) -> Promise.of((ex != null) ? render(refused(ex)) : response));
	}

	private static Outcome refused(Exception ex) {
		return new Outcome.Failed(Failure.of(ErrorKind.BAD_REQUEST, String.valueOf(ex.getMessage())), "");
	}

	private static CallerRequest read(HttpRequest request, ByteBuf body) {
		String path = request.getPathAndQuery();
		if (!path.startsWith(PREFIX)) {
			throw new IllegalArgumentException("path must begin with /v1/SERVICE/ (see TROUBLESHOOTING.md#bad-path)");
		}
		String rest = path.substring(PREFIX.length());
		int slash = (rest.indexOf('/') < 0) ? rest.length() : rest.indexOf('/');
		ServiceName service = new ServiceName(rest.substring(0, slash));
		String target = (slash == rest.length()) ? "/" : rest.substring(slash);
		return new CallerRequest(service, field(request, KEY), id(request), requestClass(request), caller(request),
				field(request, TICKET), deadline(request), new CallerRequest.Target(request.getMethod().name(), target),
				passedThrough(request), body.getArray());
	}

	private static Optional<String> field(HttpRequest request, HttpHeader header) {
		return Optional.ofNullable(request.getHeader(header));
	}

	private static RequestId id(HttpRequest request) {
		return field(request, REQUEST_ID).map(RequestId::new)
			.orElseThrow(() -> new IllegalArgumentException(
					"Brasspier-Request-Id is missing (see TROUBLESHOOTING.md#bad-request-id)"));
	}

	private static RequestClass requestClass(HttpRequest request) {
		return field(request, CLASS).map((text) -> RequestClass.valueOf(text.toUpperCase(Locale.ROOT)))
			.orElse(RequestClass.POSTING);
	}

	private static CallerId caller(HttpRequest request) {
		return field(request, CALLER).map(CallerId::new).orElse(new CallerId("anonymous"));
	}

	private static int deadline(HttpRequest request) {
		return field(request, DEADLINE).map(Integer::parseInt).orElse(DEFAULT_DEADLINE_MILLIS);
	}

	private static List<HeaderField> passedThrough(HttpRequest request) {
		return request.getHeaders()
			.stream()
			.map((entry) -> new HeaderField(entry.getKey().toString(), entry.getValue().toString()))
			.filter((header) -> header.name().equalsIgnoreCase("content-type")
					|| header.name().equalsIgnoreCase("accept"))
			.toList();
	}

	private static HttpResponse render(Outcome outcome) {
		return switch (outcome) {
			case Outcome.Answered answered -> {
				HttpResponse.Builder builder = HttpResponse.ofCode(answered.answer().status());
				answered.answer()
					.headers()
					.stream()
					.filter((header) -> !header.name().toLowerCase(Locale.ROOT).startsWith(OWN_FIELDS))
					.forEach((header) -> builder.withHeader(HttpHeaders.of(header.name()), header.value()));
				yield builder.withHeader(HttpHeaders.of("Brasspier-Ran"), "RAN")
					.withHeader(HttpHeaders.of("Brasspier-Fence"), answered.fence().toString())
					.withBody(answered.answer().body())
					.build();
			}
			case Outcome.Failed failed -> {
				ErrorKind kind = failed.failure().kind();
				yield HttpResponse.ofCode(kind.status())
					.withHeader(HttpHeaders.of("Brasspier-Error"), kind.name())
					.withHeader(HttpHeaders.of("Brasspier-Ran"), kind.ran().name())
					.withJson(new com.google.gson.Gson()
						.toJson(new ErrorBody(kind.name(), kind.ran().name(), failed.failure().detail())))
					.build();
			}
		};
	}

	/**
	 * The body of an error's answer.
	 *
	 * @param error the error's kind
	 * @param ran whether the request ran
	 * @param detail one sentence for a person
	 */
	private record ErrorBody(String error, String ran, String detail) {

	}

}
