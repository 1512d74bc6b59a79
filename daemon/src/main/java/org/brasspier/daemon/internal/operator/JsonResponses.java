package org.brasspier.daemon.internal.operator;

import java.time.Duration;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import org.brasspier.core.Failure;
import org.brasspier.wire.operator.ErrorAnswer;
import org.brasspier.wire.operator.OperatorJson;

/**
 * Builds the JSON responses of the operator port. Stateless and thread-safe.
 */
final class JsonResponses {

	private JsonResponses() {
	}

	static HttpResponse ok(Object message) {
		return HttpResponse.ok200().withJson(OperatorJson.write(message)).build();
	}

	static HttpResponse error(Failure failure) {
		return error(ErrorAnswer.of(failure), failure.retryAfter());
	}

	static HttpResponse error(ErrorAnswer error) {
		return error(error, Duration.ZERO);
	}

	private static HttpResponse error(ErrorAnswer error, Duration retryAfter) {
		HttpResponse.Builder builder = HttpResponse.ofCode(error.error().status());
		if (!retryAfter.isZero()) {
			builder.withHeader(HttpHeaders.RETRY_AFTER, Long.toString(Math.max(1, retryAfter.toSeconds())));
		}
		return builder.withJson(OperatorJson.write(error)).build();
	}

}
