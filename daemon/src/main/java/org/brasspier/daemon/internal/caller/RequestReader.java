package org.brasspier.daemon.internal.caller;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.function.Supplier;
import java.util.regex.Pattern;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.vavr.control.Either;
import org.brasspier.core.CallerId;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.RequestClass;
import org.brasspier.core.RequestId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.document.ServiceCatalog;
import org.brasspier.core.document.ServicePolicy;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.core.request.HeaderField;
import org.brasspier.core.request.RequestIdentity;
import org.brasspier.core.request.Ticket;

/**
 * Reads a caller's request as docs/API.md has it. Belongs to the thread of requests.
 */
final class RequestReader {

	private static final String PREFIX = "/v1/";

	private static final String OWN_FIELDS = "brasspier-";

	private static final HttpHeader KEY = HttpHeaders.of("Brasspier-Key");

	private static final HttpHeader REQUEST_ID = HttpHeaders.of("Brasspier-Request-Id");

	private static final HttpHeader CLASS = HttpHeaders.of("Brasspier-Class");

	private static final HttpHeader CALLER = HttpHeaders.of("Brasspier-Caller");

	private static final HttpHeader TICKET = HttpHeaders.of("Brasspier-Ticket");

	private static final HttpHeader ATTEMPT = HttpHeaders.of("Brasspier-Attempt");

	private static final HttpHeader DEADLINE = HttpHeaders.of("Brasspier-Deadline-Millis");

	/** Fields that belong to one connection or are written anew for the server. */
	private static final Set<String> NOT_PASSED = Set.of("connection", "keep-alive", "transfer-encoding",
			"content-length", "host", "upgrade", "te", "trailer", "expect", "proxy-connection", "proxy-authorization");

	private static final Set<HttpMethod> NOT_SERVED = Set.of(HttpMethod.CONNECT, HttpMethod.TRACE);

	private static final Pattern KEY_TEXT = Pattern.compile("[\\x20-\\x7e]{1,256}");

	private static final Pattern NUMBER = Pattern.compile("[0-9]{1,6}");

	private static final int MAX_DEADLINE_MILLIS = 600_000;

	private static final int ROOM_FOR_HEADERS = 100;

	private static final CallerId ANONYMOUS = new CallerId("anonymous");

	private final Supplier<ServiceCatalog> catalog;

	RequestReader(Supplier<ServiceCatalog> catalog) {
		this.catalog = catalog;
	}

	// The service asked for and what holds for it; this much is known before the body.
	Either<Failure, Addressed> address(HttpRequest request) {
		String path = request.getPathAndQuery();
		if (!path.startsWith(PREFIX) || NOT_SERVED.contains(request.getMethod())) {
			return bad("ask for /v1/SERVICE/PATH with a method that has an answer (see TROUBLESHOOTING.md#bad-path)");
		}
		int end = serviceEnd(path);
		try {
			ServiceName service = new ServiceName(path.substring(PREFIX.length(), end));
			String target = path.substring(end);
			String targetPath = target.startsWith("/") ? target : "/" + target;
			return this.catalog.get().policy(service).map((policy) -> new Addressed(service, targetPath, policy));
		}
		catch (IllegalArgumentException ex) {
			return bad(String.valueOf(ex.getMessage()));
		}
	}

	private static Failure unknown(ServiceName service) {
		return Failure.of(ErrorKind.UNKNOWN_SERVICE, "service %s is not configured".formatted(service));
	}

	private static int serviceEnd(String path) {
		int end = PREFIX.length();
		while (end < path.length() && path.charAt(end) != '/' && path.charAt(end) != '?') {
			end++;
		}
		return end;
	}

	Either<Failure, CallerRequest> read(HttpRequest request, Addressed to, byte[] body, long spentMillis) {
		try {
			RequestClass requestClass = requestClass(request);
			Optional<String> key = key(request);
			int deadline = deadline(request, to.policy().limit(requestClass).deadlineMillis());
			return Either
				.right(new CallerRequest(to.service(), key, byKey(to.policy(), key), identity(request, requestClass),
						requestClass, caller(request), (int) Math.max(0, deadline - spentMillis),
						new CallerRequest.Target(request.getMethod().name(), to.path()), passedThrough(request), body));
		}
		catch (IllegalArgumentException ex) {
			return bad(String.valueOf(ex.getMessage()));
		}
	}

	private static <T> Either<Failure, T> bad(String detail) {
		return Either.left(Failure.of(ErrorKind.BAD_REQUEST, detail));
	}

	private static boolean byKey(ServicePolicy policy, Optional<String> key) {
		return switch (policy.sharding()) {
			case BY_KEY -> true;
			case BY_REQUEST_ID -> false;
			case BY_KEY_IF_GIVEN -> key.isPresent();
		};
	}

	private static Optional<String> field(HttpRequest request, HttpHeader header) {
		return Optional.ofNullable(request.getHeader(header));
	}

	private static Optional<String> key(HttpRequest request) {
		Optional<String> key = field(request, KEY);
		key.filter((text) -> !KEY_TEXT.matcher(text).matches()).ifPresent((text) -> {
			throw new IllegalArgumentException(
					"Brasspier-Key must have 1 to 256 printable ASCII characters, has %d (see TROUBLESHOOTING.md#bad-key)"
						.formatted(text.length()));
		});
		return key;
	}

	private static RequestIdentity identity(HttpRequest request, RequestClass requestClass) {
		Optional<RequestId> id = field(request, REQUEST_ID).map(RequestId::new);
		if (id.isEmpty() && requestClass == RequestClass.POSTING) {
			throw new IllegalArgumentException(
					"a posting needs Brasspier-Request-Id, the same on each resend (see TROUBLESHOOTING.md#bad-request-id)");
		}
		Optional<String> ticket = field(request, TICKET);
		ticket.filter((text) -> Ticket.parse(text).isEmpty()).ifPresent((text) -> {
			throw new IllegalArgumentException(
					"Brasspier-Ticket is not one that brasspier issued (see TROUBLESHOOTING.md#bad-ticket)");
		});
		return new RequestIdentity(id.orElseGet(RequestReader::madeUp), id.isEmpty(), firstSend(request), ticket);
	}

	private static RequestId madeUp() {
		return new RequestId("made-up-" + UUID.randomUUID());
	}

	private static boolean firstSend(HttpRequest request) {
		return field(request, ATTEMPT).map((text) -> number("Brasspier-Attempt", text, 999_999))
			.filter((attempt) -> attempt == 1)
			.isPresent();
	}

	private static RequestClass requestClass(HttpRequest request) {
		boolean reads = request.getMethod() == HttpMethod.GET || request.getMethod() == HttpMethod.HEAD;
		return field(request, CLASS).map(RequestReader::requestClass)
			.orElse(reads ? RequestClass.LOOKUP : RequestClass.POSTING);
	}

	private static RequestClass requestClass(String text) {
		return Arrays.stream(RequestClass.values())
			.filter((known) -> known.name().toLowerCase(Locale.ROOT).equals(text))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException(
					"Brasspier-Class must be lookup, posting, internal or audit (see TROUBLESHOOTING.md#bad-class)"));
	}

	private static CallerId caller(HttpRequest request) {
		return field(request, CALLER).map(CallerId::new).orElse(ANONYMOUS);
	}

	private static int deadline(HttpRequest request, int limitMillis) {
		return field(request, DEADLINE).map((text) -> number("Brasspier-Deadline-Millis", text, MAX_DEADLINE_MILLIS))
			.map((millis) -> Math.min(millis, limitMillis))
			.orElse(limitMillis);
	}

	private static int number(String name, String text, int max) {
		int value = NUMBER.matcher(text).matches() ? Integer.parseInt(text) : 0;
		if (value < 1 || value > max) {
			throw new IllegalArgumentException(
					"%s must be 1 to %d (see TROUBLESHOOTING.md#bad-number)".formatted(name, max));
		}
		return value;
	}

	private static List<HeaderField> passedThrough(HttpRequest request) {
		List<HeaderField> passed = request.getHeaders()
			.stream()
			.map((entry) -> new HeaderField(entry.getKey().toString(), entry.getValue().toString()))
			.filter((header) -> passes(header.name().toLowerCase(Locale.ROOT)))
			.toList();
		if (passed.size() > ROOM_FOR_HEADERS) {
			throw new IllegalArgumentException(
					"%d header fields are more than %d".formatted(passed.size(), ROOM_FOR_HEADERS));
		}
		return passed;
	}

	private static boolean passes(String name) {
		return !NOT_PASSED.contains(name) && !name.startsWith(OWN_FIELDS);
	}

	/**
	 * Where a request wants to go.
	 *
	 * @param service the service
	 * @param path the path and query for the backend server
	 * @param policy what holds for the service
	 */
	record Addressed(ServiceName service, String path, ServicePolicy policy) {

	}

}
