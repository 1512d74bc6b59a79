package org.brasspier.daemon.internal.caller;

import java.util.Locale;
import java.util.Optional;

import com.google.gson.FieldNamingPolicy;
import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;
import org.brasspier.core.Ran;
import org.brasspier.core.RequestClass;
import org.brasspier.core.request.CallerRequest;
import org.brasspier.daemon.internal.request.Outcome;

/**
 * Writes the answer to a caller as specified in docs/API.md. Stateless and thread-safe.
 */
final class AnswerWriter {

	private static final String OWN_FIELDS = "brasspier-";

	private static final HttpHeader RAN = HttpHeaders.of("Brasspier-Ran");

	private static final HttpHeader REQUEST_ID = HttpHeaders.of("Brasspier-Request-Id");

	private static final HttpHeader ERROR = HttpHeaders.of("Brasspier-Error");

	private static final HttpHeader TICKET = HttpHeaders.of("Brasspier-Ticket");

	private static final HttpHeader OWNER = HttpHeaders.of("Brasspier-Owner");

	private static final HttpHeader FENCE = HttpHeaders.of("Brasspier-Fence");

	private static final HttpHeader RETRY_AFTER = HttpHeaders.of("Retry-After");

	private static final HttpHeader RETRY_AFTER_MILLIS = HttpHeaders.of("Brasspier-Retry-After-Millis");

	private static final long MILLIS_PER_SECOND = 1000;

	private static final Gson GSON = new GsonBuilder()
		.setFieldNamingPolicy(FieldNamingPolicy.LOWER_CASE_WITH_UNDERSCORES)
		.create();

	private AnswerWriter() {
	}

	static HttpResponse.Builder write(CallerRequest request, Outcome outcome, Optional<String> owner) {
		HttpResponse.Builder builder = switch (outcome) {
			case Outcome.Answered answered -> answered(answered);
			case Outcome.Failed failed -> failed(failed.failure(), ran(request, failed.failure().kind()));
		};
		builder.withHeader(REQUEST_ID, request.id().value());
		owner.ifPresent((address) -> builder.withHeader(OWNER, address));
		if (!outcome.ticket().isEmpty()) {
			builder.withHeader(TICKET, outcome.ticket());
		}
		return builder;
	}

	private static HttpResponse.Builder answered(Outcome.Answered answered) {
		HttpResponse.Builder builder = HttpResponse.ofCode(answered.answer().status());
		answered.answer()
			.headers()
			.stream()
			.filter((header) -> !header.name().toLowerCase(Locale.ROOT).startsWith(OWN_FIELDS))
			.forEach((header) -> builder.withHeader(HttpHeaders.of(header.name()), header.value()));
		return builder.withHeader(RAN, text(Ran.RAN))
			.withHeader(FENCE, answered.fence().toString())
			.withBody(answered.answer().body());
	}

	static HttpResponse.Builder failed(Failure failure, Ran ran) {
		long retryMillis = failure.retryAfter().toMillis();
		HttpResponse.Builder builder = HttpResponse.ofCode(failure.kind().status())
			.withHeader(ERROR, failure.kind().name())
			.withHeader(RAN, text(ran))
			.withJson(GSON.toJson(new ErrorBody(failure.kind().name(), text(ran), failure.detail(), retryMillis)));
		if (retryMillis > 0) {
			builder.withHeader(RETRY_AFTER_MILLIS, Long.toString(retryMillis))
				.withHeader(RETRY_AFTER, Long.toString((retryMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND));
		}
		return builder;
	}

	// A rejected resend doesn't show that the posting did not run, since an earlier
	// send may have run. Only the owner's ledger can tell, and it uses other error
	// kinds.
	private static Ran ran(CallerRequest request, ErrorKind kind) {
		boolean resend = request.requestClass() == RequestClass.POSTING && request.identity().ticket().isPresent()
				&& !request.identity().firstAttempt();
		return (resend && isRejection(kind)) ? Ran.UNKNOWN : kind.ran();
	}

	private static boolean isRejection(ErrorKind kind) {
		return switch (kind) {
			case OVERLOADED, NO_FREE_SLOT, NO_OWNER, NOT_OWNER, NO_BACKEND, DEADLINE_PASSED, BODY_TOO_LARGE -> true;
			default -> false;
		};
	}

	private static String text(Ran ran) {
		return ran.name().toLowerCase(Locale.ROOT);
	}

	/**
	 * The body of an error answer.
	 *
	 * @param error the error kind
	 * @param ran whether the request ran
	 * @param detail a human-readable sentence
	 * @param retryAfterMillis delay before a resend makes sense, 0 if at once or never
	 */
	private record ErrorBody(String error, String ran, String detail, long retryAfterMillis) {

	}

}
