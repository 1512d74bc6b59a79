package org.brasspier.daemon.internal.operator;

import java.util.Optional;

import io.activej.http.HttpRequest;

/**
 * The query parameters of a request to the operator port. Not thread-safe; confined to
 * the operators thread.
 *
 * @param request the request
 */
record QueryParameters(HttpRequest request) {

	static QueryParameters of(HttpRequest request) {
		return new QueryParameters(request);
	}

	Optional<String> text(String name) {
		return Optional.ofNullable(this.request.getQueryParameter(name)).filter((value) -> !value.isEmpty());
	}

	String requiredText(String name) {
		return text(name).orElseThrow(() -> new IllegalArgumentException(
				"parameter %s is missing (see TROUBLESHOOTING.md#bad-operator-request)".formatted(name)));
	}

	Optional<Long> number(String name) {
		return text(name).map((value) -> {
			if (!value.matches("-?[0-9]{1,18}")) {
				throw new IllegalArgumentException(
						"parameter %s \"%s\" must be a whole number (see TROUBLESHOOTING.md#bad-operator-request)"
							.formatted(name, value));
			}
			return Long.parseLong(value);
		});
	}

}
